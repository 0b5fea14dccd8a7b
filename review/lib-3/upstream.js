/* eslint-disable camelcase -- The names of the users' pages. */
/** An upstream as PROTOCOL.md describes it: slots and a queue, heartbeats to the control address of its own machine, draining and deregistering. */
import {createServer, request as sendHttp} from 'node:http';
import {detach} from './record.js';

const heartbeatMs = 1500;
const ackMs = 1000;
const healthPath = '/health';
let idCount = 0;

/** Posts a message of an upstream; resolves to whether it was acknowledged within a second. */
export async function postMessage(address, path, body) {
	return new Promise(resolve => {
		const [host, port] = address.split(':');
		const request = sendHttp({
			host, port, path, method: 'POST', agent: false, headers: {'content-type': 'application/json', 'content-length': body.length},
		}, response => {
			response.resume();
			response.on('end', () => {
				clearTimeout(timer);
				resolve(response.statusCode >= 200 && response.statusCode < 300);
			});
		});
		const timer = setTimeout(() => {
			request.destroy();
			resolve(false);
		}, ackMs);
		request.on('error', () => {
			clearTimeout(timer);
			resolve(false);
		});
		request.end(body);
	});
}

/** One upstream; `start` begins an incarnation with a new id. */
export class Upstream {
	state = 'absent';
	version = 'v1';
	/** Called with each request before it runs; returns true if it handled the request in its own way. */
	onRequest;
	id = '';
	#record;
	#machine;
	#slots;
	#workMs;
	#running = 0;
	#queue = [];
	#sequence = 0;
	#server;
	#timer;

	constructor(record, machine, {slots = 9, workMs = () => 100} = {}) {
		this.#record = record;
		this.#machine = machine;
		this.#slots = slots;
		this.#workMs = workMs;
	}

	get running() {
		return this.#running;
	}

	async start({id} = {}) {
		idCount++;
		this.id = id ?? `i-${idCount.toString(16)}${Math.floor(Math.random() * 0xFF_FF_FF).toString(16)}`;
		this.born = Date.now();
		this.#sequence = 0;
		this.state = 'ready';
		this.#server = createServer({keepAliveTimeout: 10_000}, (request, response) => {
			this.#handle(request, response);
		});
		const [host, port] = this.#machine.appAddress.split(':');
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject).listen(Number(port), host, resolve);
		});
		this.#record.add('upstream-started', {id: this.id, machine: this.#machine.name, service: this.#machine.service});
		detach(this.sendHeartbeat());
		this.#timer = setInterval(() => {
			detach(this.sendHeartbeat());
		}, heartbeatMs);
	}

	buildHeartbeat(changes = {}) {
		this.#sequence++;
		return {
			service: this.#machine.service, address: this.#machine.appAddress, zone: this.#machine.zone, version: this.version,
			max_concurrency: this.#slots, state: this.state, warmup_left_s: 0, seq: this.#sequence, born: this.born, ...changes,
		};
	}

	async sendHeartbeat() {
		const {id, state} = this;
		const isAcknowledged = await postMessage(this.#machine.control, `/v1/instances/${id}/heartbeat`, JSON.stringify(this.buildHeartbeat()));
		this.#record.add('heartbeat', {id, state, acknowledged: isAcknowledged});
		return isAcknowledged;
	}

	/** Reports `draining` until that is acknowledged; resolves to the time of the acknowledgement. */
	async drain() {
		this.state = 'draining';
		clearInterval(this.#timer);
		for (let count = 0; count < 10; count++) {
			if (await this.sendHeartbeat()) {
				this.#record.add('leave-acknowledged', {id: this.id, machine: this.#machine.name});
				return this.#record.now;
			}
		}

		return undefined;
	}

	/** Sends the end, which some upstreams send in place of `draining`; resolves to the time of the acknowledgement. */
	async deregister() {
		this.state = 'draining';
		clearInterval(this.#timer);
		const isAcknowledged = await postMessage(this.#machine.control, `/v1/instances/${this.id}/deregister`, JSON.stringify({born: this.born}));
		this.#record.add(isAcknowledged ? 'leave-acknowledged' : 'deregister-failed', {id: this.id, machine: this.#machine.name});
		return isAcknowledged ? this.#record.now : undefined;
	}

	/** Ends as a process does: its port is closed and its connections are reset. */
	stop() {
		clearInterval(this.#timer);
		this.state = 'absent';
		this.#server?.closeAllConnections();
		this.#server?.close();
		this.#queue = [];
		this.#running = 0;
		this.#record.add('upstream-ended', {id: this.id, machine: this.#machine.name});
	}

	#handle(request, response) {
		const id = request.headers['request-id'];
		if (request.url === healthPath) {
			response.writeHead(this.state === 'ready' ? 200 : 503, {'instance-id': this.id}).end();
			return;
		}

		const target = request.headers['target-instance'];
		if (target !== undefined && target !== this.id) {
			this.#record.add('misdirected', {id, target, upstream: this.id});
			request.resume();
			response.writeHead(421, {'instance-id': this.id, 'content-length': 0}).end();
			return;
		}

		const left = Number(request.headers['deadline-ms'] ?? 0);
		const job = {
			request, response, id, deadlineAt: performance.now() + left, isClosed: false, left,
		};
		response.on('close', () => {
			job.isClosed = true;
			job.abort?.();
		});
		if (this.#running < this.#slots) {
			this.#run(job);
		} else {
			this.#queue.push(job);
		}
	}

	#run(job) {
		const {request, response, id} = job;
		this.#running++;
		const startedOf = this.id;
		this.#record.add('run', {
			id, path: request.url, method: request.method, upstream: this.id, machine: this.#machine.name, service: this.#machine.service, state: this.state, left: job.left, caller: request.headers['caller-service'], tenant: request.headers['tenant-id'],
		});
		let isDone = false;
		const finish = () => {
			if (isDone) {
				return;
			}

			isDone = true;
			clearTimeout(timer);
			if (startedOf === this.id) {
				this.#running = Math.max(0, this.#running - 1);
				this.#next();
			}
		};

		job.abort = finish;
		request.resume();
		const headers = {'request-id': id, 'server-signature': `sig.${this.id}.${id}`};
		const timer = setTimeout(() => {
			if (!isDone && !response.destroyed) {
				const body = `${id} ran at ${startedOf}`;
				response.writeHead(200, {...headers, 'content-length': body.length, ...(this.state === 'draining' && {connection: 'close'})}).end(body);
			}

			finish();
		}, this.#workMs(request));
		if (this.onRequest?.({
			job, headers, finish, timer,
		})) {
			clearTimeout(timer);
		}
	}

	#next() {
		const job = this.#queue.shift();
		if (job === undefined) {
			return;
		}

		if (job.isClosed) {
			this.#next();
			return;
		}

		if (performance.now() > job.deadlineAt) {
			job.response.writeHead(503, {'not-executed': '1', 'request-id': job.id, 'content-length': 0}).end();
			this.#next();
			return;
		}

		this.#run(job);
	}
}
