import {Buffer} from 'node:buffer';
import {createServer, type ServerResponse} from 'node:http';
import {once} from 'node:events';
import {type AddressInfo} from 'node:net';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {request, type Dispatcher} from 'undici';
import {Cancellation} from '../cancellation.js';
import {forwardRequest, type ForwardResult} from '../forward.js';

/** Longest response of a test in bytes. */
const maxResponseBytes = 64 * 1024 * 1024;

/** Plays the events of an exchange. */
type Play = (handler: Dispatcher.DispatchHandler, controller: Dispatcher.DispatchController) => void;

/** Forwards a request to a dispatcher that plays the events of an exchange, and returns how it ended. */
async function forwardTo(play: Play, onWrite: (part: Uint8Array) => void = () => undefined): Promise<ForwardResult> {
	const results: Array<Promise<ForwardResult>> = [];
	const server = createServer((_incoming, response: ServerResponse) => {
		const write = response.write.bind(response) as (part: Uint8Array) => boolean;
		response.write = (part: Uint8Array) => {
			onWrite(part);
			return write(part);
		};

		const dispatcher = {
			dispatch(_options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler) {
				const controller: Pick<Dispatcher.DispatchController, 'abort' | 'pause' | 'resume'> = {
					pause: () => undefined,
					resume: () => undefined,
					abort(error) {
						handler.onResponseError!(controller as Dispatcher.DispatchController, error);
					},
				};
				handler.onRequestStart!(controller as Dispatcher.DispatchController, undefined);
				play(handler, controller as Dispatcher.DispatchController);
				return true;
			},
		} as unknown as Dispatcher;
		results.push(forwardRequest({
			dispatcher,
			origin: 'http://127.0.0.1:9',
			method: 'GET',
			path: '/',
			headers: {},
			body: undefined,
			response,
			cancellation: new Cancellation(),
			isForwardable: () => true,
			buildExtraHeaders: () => ({}),
			removeMeshHeaders: true,
		}));
		void results[0]!.then(() => {
			response.end();
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {body} = await request(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
	await body.dump({limit: maxResponseBytes});
	server.close();
	return results[0]!;
}

describe('a forwarded request', () => {
	// Guards against an end of a response that passes on the initial status, 0.
	it('is unanswered if its response ends before the final head', async t => {
		const results = [
			await forwardTo((handler, controller) => {
				handler.onResponseEnd!(controller, {});
			}),
			await forwardTo((handler, controller) => {
				handler.onResponseStart!(controller, 102, {}, 'Processing');
				handler.onResponseEnd!(controller, {});
			}),
		];
		t.deepEqual(results.map(({kind}) => kind), ['unanswered', 'unanswered']);
	});

	it('is unanswered if the status of its response is none', async t => {
		for (const status of [0, 99, 101, 600]) {
			const result = await forwardTo((handler, controller) => {
				handler.onResponseStart!(controller, status, {}, 'OK');
			});
			t.is(result.kind, 'unanswered');
		}
	});

	it('is paused while its client does not take more, and resumed then', async t => {
		const calls: string[] = [];
		await forwardTo((handler, controller) => {
			Object.assign(controller, {
				pause() {
					calls.push('pause');
				},
				resume() {
					calls.push('resume');
					handler.onResponseEnd!(controller, {});
				},
			});
			handler.onResponseStart!(controller, 200, {'transfer-encoding': 'chunked'}, 'OK');
			for (let count = 0; count < 200; count++) {
				handler.onResponseData!(controller, Buffer.alloc(64 * 1024));
			}
		});
		t.deepEqual(calls, ['pause', 'resume']);
	});

	// Guards against review/11: each part of one byte was an object in the buffer of the connection.
	it('passes parts of one byte on in few writes', async t => {
		const partCount = 400_000;
		let writes = 0;
		let bytes = 0;
		const result = await forwardTo((handler, controller) => {
			handler.onResponseStart!(controller, 200, {'transfer-encoding': 'chunked'}, 'OK');
			for (let count = 0; count < partCount; count++) {
				handler.onResponseData!(controller, Buffer.alloc(1));
			}

			handler.onResponseEnd!(controller, {});
		}, part => {
			writes++;
			bytes += part.length;
		});
		t.is(result.kind, 'answered');
		t.is(bytes, partCount);
		t.true(writes < 100, `${writes} writes`);
	});
});
