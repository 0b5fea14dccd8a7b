/** A heartbeat of another writer, without the field `born`, makes a node ignore its upstream: it acknowledges that this one leaves, and goes on sending it requests. */
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {judgeLateRuns, sendSteadily} from '../lib-3/checks.js';
import {runCase} from '../lib-3/mesh.js';
import {postMessage} from '../lib-3/upstream.js';

const drainMs = 2000;

/** Time after the acknowledgement at which the upstream ends: `drain_s` and "a little longer (at times many seconds)". */
const endAfterMs = 6000;

await runCase(path.dirname(fileURLToPath(import.meta.url)), {upstreamOptions: () => ({workMs: () => 60})}, async (mesh, hasTrouble) => {
	await mesh.start(['shop', 'shop', 'desk', 'desk', 'desk', 'shop'], {zones: ['a', 'b', 'c']});
	const [machine] = mesh.machines;
	const {upstream} = machine;
	const stopSending = sendSteadily(mesh, mesh.machines.slice(2, 5), ['/shop/read/x', '/shop/write/x'], 25);
	await sleep(4000);
	if (hasTrouble) {
		const {born: _born, ...heartbeat} = upstream.buildHeartbeat({seq: 1});
		const isAcknowledged = await postMessage(machine.control, '/v1/instances/i-other-writer/heartbeat', JSON.stringify(heartbeat));
		mesh.record.tell(`another writer has sent a heartbeat without "born"; it was ${isAcknowledged ? '' : 'not '}acknowledged`);
	}

	await sleep(500);
	const acknowledgedAt = await upstream.drain();
	if (acknowledgedAt === undefined) {
		throw new Error('the leave was not acknowledged');
	}

	await sleep(endAfterMs);
	stopSending();
	upstream.stop();
	return judgeLateRuns(mesh, upstream.id, acknowledgedAt, drainMs);
});
