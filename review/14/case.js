
/** A request that crashes the upstreams that run it comes again after all nodes were killed: what they knew of its crashes is gone. */
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {isInTouch, parseRecord} from '../lib-3/checks.js';
import {runCase} from '../lib-3/mesh.js';

const deadlyPath = '/shop/read/deadly';
const upstreamDownMs = 3000;
const stabilityWindowMs = 3000;
const allowedRetries = 3;
const losses = 2;

/** Times between two rounds of copies, one from each machine of a service, and for how long they come at a time. */
const copyIntervalMs = 700;
const comesForMs = 9000;

await runCase(path.dirname(fileURLToPath(import.meta.url)), {upstreamOptions: () => ({workMs: () => 50})}, async (mesh, hasTrouble) => {
	await mesh.start(['shop', 'shop', 'shop', 'shop', 'desk', 'desk', 'desk'], {zones: ['a', 'b', 'c']});
	for (const {upstream} of mesh.machines) {
		upstream.onRequest = ({job}) => {
			if (job.request.url !== deadlyPath) {
				return false;
			}

			mesh.record.add('crash', {id: job.id, upstream: upstream.id});
			setImmediate(() => {
				upstream.stop();
				setTimeout(async () => upstream.start(), upstreamDownMs);
			});
			return true;
		};
	}

	const callers = mesh.machines.slice(4);
	const sendDeadly = async () => {
		const end = performance.now() + comesForMs;
		while (performance.now() < end) {
			await Promise.all(callers.map(async caller => mesh.send(caller, deadlyPath, {deadline: 2000})));
			await sleep(copyIntervalMs);
		}
	};

	await sleep(2000);
	await sendDeadly();
	for (let loss = 0; loss < losses; loss++) {
		if (hasTrouble) {
			mesh.record.tell('all nodes are killed');
			for (const machine of mesh.machines) {
				machine.signal('SIGKILL');
			}
		}

		await sleep(stabilityWindowMs + 2500);
		await sendDeadly();
	}

	const events = parseRecord(mesh);
	const crashes = events.filter(({kind}) => kind === 'crash');
	const sentTo = new Map(events.filter(({kind}) => kind === 'sent').map(event => [event.id, event.at_machine]));
	const runs = events.filter(({kind, path: runPath}) => kind === 'run' && runPath === deadlyPath);
	const third = crashes[2]?.at ?? Number.POSITIVE_INFINITY;
	const late = runs.filter(({id, machine, at}) => at > third + stabilityWindowMs && isInTouch(events, machine, at) && isInTouch(events, sentTo.get(id), at));
	return {
		isBroken: late.length > allowedRetries,
		text: `${crashes.length} crashes, the third at ${third}; ${late.length} arrivals from machines in touch over ${stabilityWindowMs} ms after it (${allowedRetries} allowed)`,
	};
});
