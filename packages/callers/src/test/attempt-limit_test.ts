import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {waitUntil} from '@ebonylead/stand-ins/wait-until.js';
import {call, withHarness} from './call-helpers.js';

const rules = ['GET a.example/** -> s deadline 3s # A'];
const maxTries = 2;

describe('a call that may run at two upstreams', () => {
	it('is not sent to a third one when one of two attempts in flight loses its connection', async t => {
		await withHarness(async harness => {
			harness.setRules(rules, maxTries);
			const relays = [];
			for (const index of [0, 1, 2]) {
				const vm = await harness.addVm(() => undefined);
				relays.push(await harness.addRelay(vm, `127.0.0.${110 + index}`));
			}

			const pending = call(harness, 'GET', '/x');
			await waitUntil(() => harness.vms.some(vm => vm.requestCount === 1));
			const first = harness.vms.findIndex(vm => vm.requestCount === 1);
			relays[first]!.pause();
			await waitUntil(() => harness.vms.filter(vm => vm.requestCount === 1).length === 2);
			relays[first]!.resetOpenConnections();
			t.like(await pending, {status: 504, outcome: 'unknown'});
			t.is(harness.vms.reduce((sum, vm) => sum + vm.requestCount, 0), maxTries);
		});
	});

	it('is sent to a third one when an upstream shows that it has not run', async t => {
		await withHarness(async harness => {
			harness.setRules(rules, maxTries);
			await harness.addVm((_request, response) => {
				response.end('ok');
			});
			for (let index = 0; index < 2; index++) {
				const vm = await harness.addVm(() => undefined);
				vm.localUpstream.admission.close();
			}

			t.like(await call(harness, 'GET', '/x'), {status: 200, body: 'ok'});
		});
	});
});
