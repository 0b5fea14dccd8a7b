
/** One upstream answers without end, in chunks of one byte: the process of its node ends, and with it the requests of the clients on that machine. */
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {parseRecord} from '../lib-3/checks.js';
import {detach} from '../lib-3/record.js';
import {runCase} from '../lib-3/mesh.js';

const troubleMs = 5500;
const maxStartMs = 1000;
const allowed = 3;

/** Time after the end of a process in which its clients see it. */
const lossMs = 300;

/** Work of a request at the service with the faulty upstream, when it is sound. */
const shopWorkMs = 200;

/** Work of a request at the other service; it varies, so that their ends are spread. */
function computeDeskWork() {
	return 600 + (400 * Math.random());
}

/** One write of an answer in trouble, and the pause after it. */
const chunksPerWrite = 1024;
const writeIntervalMs = 20;

/** Answers with a head that is right, and then with bytes that do not end until the connection is closed. */
function answerWithoutEnd({job, headers, finish}) {
	const {response} = job;
	response.writeHead(200, headers).flushHeaders();
	const {socket} = response;
	const bytes = '1\r\nz\r\n'.repeat(chunksPerWrite);
	const timer = setInterval(() => {
		if (socket.destroyed) {
			clearInterval(timer);
			finish();
		} else if (!socket.writableNeedDrain) {
			socket.write(bytes);
		}
	}, writeIntervalMs);
	return true;
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), {upstreamOptions: machine => ({workMs: () => machine.service === 'desk' ? computeDeskWork() : shopWorkMs})}, async (mesh, hasTrouble) => {
	await mesh.start(['shop', 'desk', 'desk', 'desk', 'shop', 'shop'], {zones: ['a', 'b', 'c']});
	const [machine] = mesh.machines;
	const ending = new AbortController();
	// Clients on the machine with the faulty upstream, whose requests go to other services, and callers of its service on all machines.
	const clients = [
		...Array.from({length: 16}, () => ({at: machine, path: '/desk/write/x'})),
		...Array.from({length: 27}, (_, index) => ({at: mesh.machines[1 + (index % 3)], path: '/shop/read/x'})), // As many as the slots of its three upstreams.
	];
	for (const client of clients) {
		detach((async () => {
			// Each client begins at a time of its own.
			await sleep(maxStartMs * Math.random());
			while (!ending.signal.aborted) {
				const options = client.path.includes('/write/') ? {method: 'POST', body: 'a declaration', deadline: 4000} : {deadline: troubleMs};
				await mesh.send(client.at, client.path, options);
				await sleep(20);
			}
		})());
	}

	await sleep(5000);
	const from = mesh.record.now;
	if (hasTrouble) {
		mesh.record.tell(`the upstream of ${machine.name} answers without end`);
		machine.upstream.onRequest = answerWithoutEnd;
	}

	await sleep(troubleMs);
	ending.abort();
	await sleep(4500);
	const events = parseRecord(mesh);
	const sent = new Map(events.filter(({kind, at}) => kind === 'sent' && at >= from).map(event => [event.id, event]));
	const runs = new Set(events.filter(({kind, service}) => kind === 'run' && service === 'desk').map(({id}) => id));
	const ends = events.filter(({kind, machine: name}) => kind === 'node-ended' && name === machine.name);
	// Only what the first end takes with it counts, as the process was started again later.
	const lastAt = (ends[0]?.at ?? 0) + lossMs;
	const isLost = ({id, status, reused, detail}) => status === '0' && detail !== 'gave-up' && reused === 'true' && runs.has(id) && sent.get(id)?.at_machine === machine.name;
	const lost = events.filter(event => event.kind === 'answered' && event.at <= lastAt && isLost(event));
	const endTimes = ends.map(({signal, at}) => `${signal} at ${at}`).join(', ');
	return {
		isBroken: lost.length > allowed,
		text: `the process of ${machine.name} ended by itself ${ends.length} times (${endTimes}); the first end took ${lost.length} requests that ran at sound upstreams (${allowed} allowed)`,
	};
});
