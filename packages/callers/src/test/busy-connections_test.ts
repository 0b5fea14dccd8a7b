import {type ServerResponse} from 'node:http';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {MeshHarness} from '@ebonylead/stand-ins/mesh-harness.js';
import {waitUntil} from '@ebonylead/stand-ins/wait-until.js';
import {call, withHarness} from './call-helpers.js';

const connectionCount = 2;

describe('calls that wait for a connection', () => {
	it('do not make a node count as unreachable if all its connections are in use', async t => {
		await withHarness(async harness => {
			const held: ServerResponse[] = [];
			let isHolding = true;
			const vm = await harness.addVm((_request, response) => {
				if (isHolding) {
					held.push(response);
				} else {
					response.end('good');
				}
			});
			const pending = Array.from({length: connectionCount}, async () => call(harness, 'GET', '/x'));
			await waitUntil(() => vm.localUpstream.admission.running === connectionCount);
			const refused = await call(harness, 'GET', '/x', {headers: {'x-ebonylead-deadline': '300'}});
			t.is(refused.outcome, 'not-run');
			const last = call(harness, 'GET', '/x');
			isHolding = false;
			for (const response of held) {
				response.end('good');
			}

			t.like(await last, {status: 200, body: 'good'});
			await Promise.all(pending);
		}, new MeshHarness(1, connectionCount));
	});
});
