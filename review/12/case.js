/** An upstream that started again under the id that it had leaves, its node acknowledges that, and goes on sending it requests. */
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {judgeLateRuns, sendSteadily} from '../lib-3/checks.js';
import {runCase} from '../lib-3/mesh.js';

const darkMs = 3500;
const nodeStartDelayMs = 400;
const serveBeforeLeaveMs = 1000;
const drainMs = 2000;

/** Time after the acknowledgement at which the upstream ends: `drain_s` and "a little longer (at times many seconds)". */
const endAfterMs = 7000;

await runCase(path.dirname(fileURLToPath(import.meta.url)), {upstreamOptions: () => ({workMs: () => 60})}, async (mesh, hasTrouble) => {
	await mesh.start(['shop', 'shop', 'desk', 'desk', 'desk', 'shop'], {zones: ['a', 'b', 'c']});
	const [machine] = mesh.machines;
	const {upstream} = machine;
	const stopSending = sendSteadily(mesh, mesh.machines.slice(2, 5), ['/shop/read/x', '/shop/write/x'], 25);
	await sleep(4000);
	if (hasTrouble) {
		mesh.record.tell('the machine loses power: its node and its upstream end');
		machine.isHeldDown = true;
		machine.signal('SIGKILL');
		upstream.stop();
		await sleep(darkMs);
		mesh.record.tell('the machine is back: its upstream starts again under the id that it had, then its node starts');
		await upstream.start({id: upstream.id});
		await sleep(nodeStartDelayMs);
		machine.isHeldDown = false;
		machine.startNode();
		await mesh.waitUntil(async () => machine.isReady(), 5000, 'the start of the node');
	}

	await sleep(serveBeforeLeaveMs - (hasTrouble ? nodeStartDelayMs : 0));
	const acknowledgedAt = await upstream.deregister();
	if (acknowledgedAt === undefined) {
		throw new Error('the leave was not acknowledged');
	}

	await sleep(endAfterMs);
	stopSending();
	upstream.stop();
	return judgeLateRuns(mesh, upstream.id, acknowledgedAt, drainMs);
});
