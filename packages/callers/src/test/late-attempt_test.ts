import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {request} from 'undici';
import {buildResponder, call, withHarness} from './call-helpers.js';

/** Longer than the deadline of 1 s of the rules. */
const delayMs = 1200;

/** Time after which the callers leave. */
const patienceMs = 300;

describe('a call that spends its deadline on the way to the sidecar', () => {
	for (const [index, method] of (['GET', 'POST'] as const).entries()) {
		it(`does not reach the upstream: ${method}`, async t => {
			await withHarness(async harness => {
				const vm = await harness.addVm(buildResponder('ok'));
				const relay = await harness.addRelay(vm, `127.0.0.${114 + index}`);
				const path = method === 'GET' ? '/quick/x' : '/quick';
				await call(harness, method, path);
				relay.extraDelayToTarget = delayMs;
				await t.throwsAsync(request(harness.url + path, {method, headers: {host: 'a.example'}, signal: AbortSignal.timeout(patienceMs)}), {any: true});
				await sleep(2 * delayMs);
				t.is(vm.requestCount, 1);
				relay.extraDelayToTarget = 0;
				t.like(await call(harness, method, path), {status: 200});
			});
		});
	}
});

describe('an attempt whose deadline is further away than a timer can wait', () => {
	it('is not cancelled at once', async t => {
		await withHarness(async harness => {
			const vm = await harness.addVm((_request, response) => {
				setTimeout(() => {
					response.end('ok');
				}, 50);
			});
			const {statusCode, body} = await request(`http://127.0.0.1:${vm.meshListener.port}/x`, {headers: {host: 'a.example', 'x-ebonylead-deadline': '99999999999999'}});
			t.is(await body.text(), 'ok');
			t.is(statusCode, 200);
		});
	});
});
