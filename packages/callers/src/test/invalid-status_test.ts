import {type IncomingMessage, type ServerResponse} from 'node:http';
import {itSerially} from '@ebonylead/stand-ins/describe.js';
import {call, describeOnBothPaths} from './call-helpers.js';

/** Longest time in milliseconds for an attempt whose response is recognised by its status; calls have seconds. The tests run one at a time, as all of them at once take that long together. */
const promptMs = 900;

/** Status lines of no final response of HTTP, nor of an interim one to a request without `Upgrade`. */
const statusTexts = ['000 OK', '000', '099 OK', '101 Switching Protocols', '600 OK', '999 OK', '00 OK', '0200 OK'];

const bodies: Readonly<Record<string, string>> = {
	'a body': 'Content-Length: 5\r\n\r\nhello',
	'a part of a body': 'Content-Length: 10\r\n\r\nhello',
	'neither a length nor chunks': '\r\nhello',
};

/** Sends raw bytes as the response, and leaves the connection open. */
function sendRaw(bytes: string, incoming: IncomingMessage, response: ServerResponse): void {
	response.on('error', () => undefined);
	incoming.resume();
	incoming.socket.write(bytes);
}

// Guards against a status outside of the range of HTTP that callers get as an answer, or for which a call waits until its deadline.
describeOnBothPaths('a response with a status that HTTP does not have', withHarness => {
	for (const statusText of statusTexts) {
		for (const [name, rest] of Object.entries(bodies)) {
			const bytes = `HTTP/1.1 ${statusText}\r\nServer-Signature: x\r\n${rest}`;

			itSerially(`is no answer to a call that may run once: ${statusText}, ${name}`, async t => {
				await withHarness(async harness => {
					const vm = await harness.addVm((incoming, response) => {
						sendRaw(bytes, incoming, response);
					});
					const startedAt = performance.now();
					const received = await call(harness, 'POST', '/x', {body: 'b'});
					t.like(received, {status: 502, outcome: 'unknown'}, received.body);
					t.true(performance.now() - startedAt < promptMs, `${performance.now() - startedAt} ms`);
					t.is(vm.requestCount, 1);
				});
			});

			itSerially(`sends an idempotent call to another upstream at once, and ends the connection: ${statusText}, ${name}`, async t => {
				await withHarness(async harness => {
					const sockets = new Set<unknown>();
					const state = {isFaulty: true};
					for (let count = 0; count < 2; count++) {
						await harness.addVm((incoming, response) => {
							if (state.isFaulty) {
								state.isFaulty = false;
								sockets.add(incoming.socket);
								sendRaw(bytes, incoming, response);
							} else {
								response.end(sockets.has(incoming.socket) ? 'reused' : 'good');
							}
						});
					}

					const startedAt = performance.now();
					t.like(await call(harness, 'GET', '/x'), {status: 200, body: 'good'});
					t.true(performance.now() - startedAt < promptMs, `${performance.now() - startedAt} ms`);
					for (let count = 0; count < 4; count++) {
						t.like(await call(harness, 'GET', '/x'), {status: 200, body: 'good'});
					}
				});
			});
		}
	}
});
