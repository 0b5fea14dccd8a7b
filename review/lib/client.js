/** Stand-in of the clients on one machine, as PROTOCOL.md has them. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {Agent, request as sendHttp} from 'node:http';

/** Sends requests to the outbound address of its machine over connections that it keeps. */
export class Client {
	#machine;
	#agent = new Agent({keepAlive: true, maxSockets: 100});

	constructor(machine) {
		this.#machine = machine;
	}

	/** Sends one request; resolves to what came of it. */
	async send(path, {method = 'GET', body = '', deadline = 2000, headers = {}, id = randomBytes(8).toString('hex')} = {}) {
		const {deployment, host, base, name} = this.#machine;
		const sent = deployment.note('sent', {
			machine: name, id, method, path,
		});
		return new Promise(resolve => {
			const finish = values => {
				clearTimeout(timer);
				resolve(deployment.note('answered', {
					isKeptConnection: request.reusedSocket,
					machine: name, id, sentAt: sent.t, ...values,
				}));
			};

			const request = sendHttp({
				agent: this.#agent, host, port: base + 2, path, method, headers: {
					host: 'mesh.example', 'request-id': id, 'deadline-ms': String(deadline), ...(body !== '' && {'content-length': Buffer.byteLength(body)}), ...headers,
				},
			}, response => {
				let text = '';
				let bytes = 0;
				response.on('data', chunk => {
					bytes += chunk.length;
					if (text.length < 80) {
						text += chunk;
					}
				});
				response.on('end', () => {
					finish({
						bytes, isWhole: response.complete, status: response.statusCode, signature: response.headers['server-signature'], retryAfter: response.headers['retry-after'], body: text.slice(0, 80),
					});
				});
				response.on('error', error => {
					finish({bytes, startedWith: response.statusCode, error: `${error.code ?? error.message} in the body`});
				});
			});
			const timer = setTimeout(() => {
				request.destroy(new Error('the deadline passed'));
			}, deadline);
			request.on('error', error => {
				finish({error: error.code ?? error.message});
			});
			request.end(body);
		});
	}

	close() {
		this.#agent.destroy();
	}
}
