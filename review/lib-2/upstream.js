/* eslint camelcase: "off" -- The names are those of the pages. */
/** Stand-in of an application upstream, by PROTOCOL.md. */
import {once} from 'node:events';
import {createServer, request as sendHttp} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

const heartbeatIntervalMs = 1500;
const heartbeatTimeoutMs = 1000;
const retryIntervalMs = 300;
const healthPath = '/health';

/** Posts a message to a node; resolves to whether it was acknowledged within a second. */
export async function post(host, port, path, body) {
	return new Promise(resolve => {
		const outgoing = sendHttp({
			host, port, path, method: 'POST', agent: false, headers: {'content-type': 'application/json', 'content-length': body.length}, signal: AbortSignal.timeout(heartbeatTimeoutMs),
		}, response => {
			response.resume();
			response.on('end', () => {
				resolve(response.statusCode >= 200 && response.statusCode < 300);
			});
			response.on('error', () => {
				resolve(false);
			});
		});
		outgoing.on('error', () => {
			resolve(false);
		});
		outgoing.end(body);
	});
}

/** One upstream: it serves at an address, and sends heartbeats to the node beside it. */
export class Upstream {
	id = '';
	born = 0;
	state = 'ready';
	/** Whether its process runs. */
	isListening = false;
	#sequence = 0;
	#timer;
	#starts = 0;
	#server;

	/**
	 * @param options `host`, `port`, `controlPort`, `service`, `zone`, `slots`, and `run(incoming, response, upstream)`, which handles each request that this upstream runs.
	 */
	constructor(options) {
		this.options = options;
	}

	/** Starts a process of the upstream, with a new id. */
	async start() {
		const {host, port} = this.options;
		this.#starts++;
		this.id = `i-${host}-${this.#starts}`;
		this.born = Date.now();
		this.state = 'ready';
		this.#sequence = 0;
		this.#server = createServer({keepAliveTimeout: 10_000}, (incoming, response) => {
			this.#handle(incoming, response);
		});
		this.#server.listen(port, host);
		await once(this.#server, 'listening');
		this.isListening = true;
		this.#beat();
		this.#timer = setInterval(() => {
			this.#beat();
		}, heartbeatIntervalMs);
	}

	/** Ends the process at once, as a crash does. */
	async crash() {
		clearInterval(this.#timer);
		this.isListening = false;
		const closed = once(this.#server, 'close');
		this.#server.close();
		this.#server.closeAllConnections();
		await closed;
	}

	/** Says that it drains, until that is acknowledged. */
	async drain() {
		this.state = 'draining';
		while (!await this.#beat()) {
			await sleep(retryIntervalMs);
		}
	}

	/** Says that it ends, without having said before that it drains; it serves on. Resolves to whether that was acknowledged. */
	async deregister() {
		clearInterval(this.#timer);
		this.state = 'left';
		const {host, controlPort} = this.options;
		return post(host, controlPort, `/v1/instances/${this.id}/deregister`, JSON.stringify({born: this.born}));
	}

	/** Creates the next heartbeat, for one that is on its way for long. */
	createHeartbeat() {
		const {
			host, port, service, zone, slots,
		} = this.options;
		this.#sequence++;
		return {
			path: `/v1/instances/${this.id}/heartbeat`,
			body: JSON.stringify({
				service, address: `${host}:${port}`, zone, version: 'v1', max_concurrency: slots, state: this.state, warmup_left_s: 0, seq: this.#sequence, born: this.born,
			}),
		};
	}

	async #beat() {
		const {host, controlPort} = this.options;
		const {path, body} = this.createHeartbeat();
		return post(host, controlPort, path, body);
	}

	#handle(incoming, response) {
		if (incoming.url === healthPath) {
			response.writeHead(this.state === 'ready' ? 200 : 503, {'instance-id': this.id}).end();
			return;
		}

		const target = incoming.headers['target-instance'];
		const id = incoming.headers['request-id'];
		if (target !== undefined && target !== this.id) {
			incoming.resume();
			response.writeHead(421, {'instance-id': this.id, 'request-id': String(id), 'not-executed': '1'}).end();
			return;
		}

		this.options.run(incoming, response, this);
	}
}

/** Sends the complete answer of an upstream. */
export function answer(incoming, response, body = 'ok', status = 200) {
	response.writeHead(status, {
		'request-id': incoming.headers['request-id'], 'server-signature': 'sig.1', 'content-type': 'text/plain', 'content-length': body.length,
	}).end(body);
}
