import {type IncomingMessage, type ServerResponse} from 'node:http';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {MeshHarness} from '@ebonylead/stand-ins/mesh-harness.js';
import {request} from 'undici';

const depth = 11;
const vmsPerLevel = 3;
const calls = 150;

/** Defaults of the retry budget of each service: retries per call, and the size of the token bucket. */
const retryRatio = 0.1;
const maxRetryTokens = 10;

/** Serves one level of the chain: calls the next level through the entry node, and responds with its status. */
async function forwardToNextLevel(harness: MeshHarness, level: number, incoming: IncomingMessage, response: ServerResponse): Promise<void> {
	try {
		const received = await request(`${harness.url}/${level + 1}`, {
			headers: {
				host: 'a.example',
				'x-ebonylead-deadline': String(incoming.headers['x-ebonylead-deadline']),
				'x-ebonylead-attempt': String(incoming.headers['x-ebonylead-attempt']),
			},
		});
		await received.body.dump();
		response.writeHead(received.statusCode).end('x');
	} catch {
		response.destroy();
	}
}

async function createChain(): Promise<MeshHarness> {
	const harness = new MeshHarness();
	await harness.start(Array.from({length: depth}, (_, index) => `GET a.example/${index + 1} -> s${index + 1} deadline 20s # A`));
	for (let level = 1; level <= depth; level++) {
		for (let index = 0; index < vmsPerLevel; index++) {
			const isFailing = level === depth && index === 0;
			await harness.addVm((incoming, response) => {
				if (isFailing) {
					incoming.socket.destroy();
				} else if (level === depth) {
					response.end('leaf');
				} else {
					void forwardToNextLevel(harness, level, incoming, response);
				}
			}, {service: `s${level}`});
		}
	}

	return harness;
}

describe('chain of 11 services', () => {
	it('runs no more calls at its last level than the retry budgets allow, while a third of the upstreams there fail', async t => {
		const harness = await createChain();
		let answered = 0;
		for (let round = 0; round < calls; round++) {
			const received = await request(`${harness.url}/1`, {headers: {host: 'a.example'}});
			await received.body.dump();
			answered += Number(received.statusCode === 200);
		}

		const leafRuns = harness.vms.slice(-vmsPerLevel).reduce((sum, vm) => sum + vm.requestCount, 0);
		const bound = (calls * (1 + (depth * retryRatio))) + (depth * maxRetryTokens);
		t.log(`${leafRuns} runs at the leaf for ${calls} calls, ${answered} answered`);
		t.true(leafRuns <= bound, `${leafRuns} runs at the leaf, at most ${bound}`);
		t.true(answered >= calls * 0.95, `${answered} of ${calls} answered`);
		await harness.stop();
	});
});
