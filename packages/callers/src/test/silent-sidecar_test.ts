import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {waitUntil} from '@ebonylead/stand-ins/wait-until.js';
import {type MeshHarness, type UpstreamHandler} from '@ebonylead/stand-ins/mesh-harness.js';
import {type ExecutionContext} from 'ava';
import {type Dispatcher} from 'undici';
import {call, withHarness} from './call-helpers.js';

/** Longer than the time without a byte after which a sidecar is suspected, and shorter than the deadline. */
const pauseMs = 1200;
const upstreamTimeMs = 100;

const sleep = async (duration: number) => new Promise(resolve => {
	setTimeout(resolve, duration);
});

/** Builds the behaviour of an upstream that responds after a time. */
function buildSlowResponder(body: string, duration: number): UpstreamHandler {
	return (_request, response) => {
		setTimeout(() => {
			response.end(body);
		}, duration);
	};
}

/** Sends a call, and pauses all connections to its sidecar while its upstream runs it. */
async function expectAnswerAfterPause(t: ExecutionContext, relayHost: string, method: Dispatcher.HttpMethod, onPause?: (harness: MeshHarness) => void): Promise<void> {
	await withHarness(async harness => {
		const vm = await harness.addVm(buildSlowResponder('whole', upstreamTimeMs));
		const relay = await harness.addRelay(vm, relayHost);
		const pending = call(harness, method, '/x', method === 'POST' ? {body: 'b'} : {});
		await waitUntil(() => vm.requestCount === 1);
		relay.pause();
		onPause?.(harness);
		await sleep(pauseMs);
		relay.resume();
		const received = await pending;
		t.like(received, {status: 200, body: 'whole'}, received.body);
		t.is(vm.requestCount, 1);
	});
}

describe('calls at a silent sidecar', () => {
	describe('that goes on before the deadline', () => {
		it('are not given up while the upstream runs them, if they are idempotent', async t => {
			await expectAnswerAfterPause(t, '127.0.0.20', 'GET');
		});

		it('are not given up while the upstream runs them, if they are not idempotent', async t => {
			await expectAnswerAfterPause(t, '127.0.0.21', 'POST');
		});

		it('are not given up while the upstream runs them and the entry node stops', async t => {
			await expectAnswerAfterPause(t, '127.0.0.22', 'POST', harness => {
				harness.drainEntryNode();
			});
		});
	});
});
