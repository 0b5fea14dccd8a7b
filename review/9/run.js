/* eslint camelcase: "off" -- The names are those of the pages. */
/** A request that crashes the upstreams that run it, while callers of another service send a request with the same path that crashes none. */
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib-2/fleet.js';
import {answer} from '../lib-2/upstream.js';

const stabilityWindowMs = 3000;
const maxRetries = 3;
const downMs = 3000;
const runMs = 150;
const target = '/lots/17';
const crashingCaller = 'office';

await runCase(import.meta.url, async ({fleet, record, hasTrouble}) => {
	let crashes = 0;
	let countedFrom = Number.POSITIVE_INFINITY;
	const counted = [];
	const run = (incoming, response, upstream) => {
		const id = incoming.headers['request-id'];
		if (incoming.url !== target || incoming.headers['caller-service'] !== crashingCaller) {
			setTimeout(answer, runMs, incoming, response);
			return;
		}

		crashes++;
		record.add(`upstream ${upstream.id}: ${id} of "${crashingCaller}" reaches it, and crashes it; crash ${crashes}`);
		if (crashes === 3) {
			countedFrom = record.now + stabilityWindowMs;
		} else if (record.now > countedFrom) {
			counted.push(id);
		}

		upstream.crash().then(async () => {
			await sleep(downMs);
			await upstream.start();
			record.add(`upstream ${upstream.id}: started`);
		});
	};

	const offices = [await fleet.addMachine(crashingCaller, 'a', run), await fleet.addMachine(crashingCaller, 'b', run)];
	const yard = await fleet.addMachine('yard', 'b', run);
	for (const zone of ['a', 'b', 'c', 'a', 'b', 'c']) {
		await fleet.addMachine('desk', zone, run);
	}

	fleet.configure([{
		name: 'lookup', host: 'a.example', prefix: '/lots/', kind: 'safe', timeout_s: 2, target_latency_s: 0.5, priority: 1, max_attempts: 2, service: 'desk',
	}], ['office', 'yard', 'desk']);
	await fleet.waitUntilReady();
	// All machines are in touch from here on.
	await sleep(stabilityWindowMs + 2000);
	const sending = new AbortController();
	const sendEach = async (intervalMs, send) => {
		for (let count = 1; !sending.signal.aborted; count++) {
			send(count);
			await sleep(intervalMs);
		}
	};

	const tasks = [
		sendEach(12, count => fleet.send(offices[count % offices.length], {target: `/lots/other-${count}`, id: `r${count}`})),
		sendEach(250, count => fleet.send(yard, {target, id: `y${count}`})),
		sendEach(2000, count => hasTrouble && fleet.send(offices[count % offices.length], {target, id: `p${count}`})),
	];
	await sleep(30_000);
	sending.abort();
	await Promise.all(tasks);
	await sleep(downMs + 1000);
	return counted.length <= maxRetries ? undefined : `BUDGET: a request that crashes the upstreams that run it reached them ${counted.length} times more, later than stability_window_s after it had crashed the third: ${counted.join(', ')}`;
});
