/* eslint camelcase: "off" -- The names are those of the pages. */
/** An upstream leaves while the store is down, all processes of the system are killed, and a heartbeat from before the leave arrives late. */
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib-2/fleet.js';
import {answer, post} from '../lib-2/upstream.js';

const drainMs = 2000;
const stabilityWindowMs = 3000;
const runMs = 50;
const sendIntervalMs = 30;

/** For how long the upstream serves after its leave was acknowledged. */
const servesMs = 11_000;

await runCase(import.meta.url, async ({fleet, record, hasTrouble}) => {
	let acknowledgedAt = Number.POSITIVE_INFINITY;
	let inTouchFrom = Number.POSITIVE_INFINITY;
	const sentAt = new Map();
	const late = [];
	const run = (incoming, response, upstream) => {
		const id = incoming.headers['request-id'];
		const sinceMs = record.now - acknowledgedAt;
		const isInTouch = sentAt.get(id) >= inTouchFrom;
		record.add(`upstream ${upstream.id}: ${id} reaches it, and it runs it`);
		if (upstream === leaving?.upstream && sinceMs > drainMs && isInTouch) {
			late.push(`${id} after ${(sinceMs / 1000).toFixed(3)} s`);
		}

		setTimeout(answer, runMs, incoming, response);
	};

	const client = await fleet.addMachine('office', 'a', run);
	const leaving = await fleet.addMachine('desk', 'a', run);
	await fleet.addMachine('desk', 'b', run);
	await fleet.addMachine('office', 'b', run);
	fleet.configure([{
		name: 'lookup', host: 'a.example', prefix: '/lots/', kind: 'safe', timeout_s: 1, target_latency_s: 0.5, priority: 1, max_attempts: 2, service: 'desk',
	}], ['office', 'desk']);
	await fleet.waitUntilReady();
	const sending = new AbortController();
	const send = async () => {
		for (let count = 1; !sending.signal.aborted; count++) {
			const id = `r${count}`;
			sentAt.set(id, record.now);
			fleet.send(client, {target: `/lots/${count}`, id});
			await sleep(sendIntervalMs);
		}
	};

	const sent = send();
	await sleep(8000);
	const {upstream} = leaving;
	if (hasTrouble) {
		fleet.store.isDown = true;
		record.add('the store is down: it answers 503');
	}

	await sleep(500);
	const heartbeat = upstream.createHeartbeat();
	record.add(`upstream ${upstream.id}: sends a heartbeat, which is on its way for some seconds`);
	if (!await upstream.deregister()) {
		throw new Error('the leave was not acknowledged');
	}

	acknowledgedAt = record.now;
	record.add(`upstream ${upstream.id}: deregister is acknowledged`);
	if (hasTrouble) {
		record.add('all processes of the system are killed');
		await fleet.killAndRestart(fleet.machines, 500);
	}

	await fleet.waitUntilListening(fleet.machines);
	await sleep(200);
	const isTaken = await post(leaving.host, leaving.controlPort, heartbeat.path, heartbeat.body);
	record.add(`upstream ${upstream.id}: the heartbeat arrives, ${isTaken ? 'and is acknowledged' : 'and is not acknowledged'}`);
	await sleep(1500);
	if (hasTrouble) {
		fleet.store.isDown = false;
		record.add('the store is back');
	}

	inTouchFrom = record.now + stabilityWindowMs;
	await sleep(acknowledgedAt + servesMs - record.now);
	await upstream.crash();
	record.add(`upstream ${upstream.id}: exits`);
	sending.abort();
	await sent;
	await sleep(1000);
	return late.length === 0 ? undefined : `DRAIN: ${late.length} requests that were sent in touch reached ${upstream.id} later than drain_s after the acknowledgement: ${late.slice(0, 3).join(', ')}, the last ${late.at(-1)}`;
});
