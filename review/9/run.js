/* eslint camelcase: "off" -- The names are those of the pages. */
/** A machine goes to another service: its settings file changes without a signal. */
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib-2/fleet.js';
import {answer} from '../lib-2/upstream.js';

const reuseAfterMs = 2000;
const sendIntervalMs = 10;
const playMs = 3000;

/** Number of requests with the name of the earlier service from which on the rule counts as broken: one may cross the change. */
const minWrong = 2;

await runCase(import.meta.url, async ({fleet, record, hasTrouble}) => {
	let changedAt = Number.POSITIVE_INFINITY;
	const wrong = [];
	const run = (incoming, response, upstream) => {
		const id = incoming.headers['request-id'];
		const caller = incoming.headers['caller-service'];
		const sentAt = sent.get(id);
		record.add(`upstream ${upstream.id}: ${id} reaches it, Caller-Service: ${caller}`);
		if (caller !== (sentAt > changedAt ? machine.service : 'office')) {
			wrong.push(`${id}, sent ${Math.round(sentAt - changedAt)} ms after the change, as "${caller}"`);
		}

		answer(incoming, response);
	};

	const sent = new Map();
	const machine = await fleet.addMachine('office', 'a', run);
	await fleet.addMachine('desk', 'a', run);
	await fleet.addMachine('desk', 'b', run);
	fleet.configure([{
		name: 'lookup', host: 'a.example', prefix: '/lots/', kind: 'safe', timeout_s: 1, target_latency_s: 0.5, priority: 1, max_attempts: 2, service: 'desk',
	}], ['office', 'yard', 'desk']);
	await fleet.waitUntilReady();
	await sleep(5000);
	// The upstream of "office" ends, and after `reuse_after_s` its address goes to one of "yard".
	await machine.upstream.crash();
	await sleep(reuseAfterMs + 500);
	if (hasTrouble) {
		fleet.assignService(machine, 'yard');
		record.add(`platform: the settings of ${machine.name} now name the service yard`);
		changedAt = record.now;
	}

	await machine.upstream.start();
	const end = record.now + playMs;
	for (let count = 1; record.now < end; count++) {
		const id = `r${count}`;
		sent.set(id, record.now);
		await fleet.send(machine, {target: `/lots/${count}`, id});
		await sleep(sendIntervalMs);
	}

	return wrong.length < minWrong ? undefined : `UNASKED: ${wrong.length} requests that began on the machine of "yard" ran with another Caller-Service: ${wrong[0]}, the last ${wrong.at(-1)}`;
});
