/* eslint-disable camelcase, no-void -- The wire has names of its own, and the stand-ins run beside each other. */
/** Stand-in of an upstream, as PROTOCOL.md has it. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {createServer as createSocketServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

const heartbeatIntervalMs = 1500;

/** An upstream: it runs as many requests at once as it has slots, queues a few more, and refuses what it can't run. */
export class Upstream {
	state = 'ready';
	/** Decides on trouble: each returns what is done to a request or its answer; undefined for nothing. */
	shouldShed = () => false;
	shouldRepeat = () => false;
	isDeadly = () => false;
	/** Time in milliseconds after a crash until the next process starts. */
	downtime = 2000;
	#machine;
	#running = 0;
	#queue = [];
	#sequence = 0;
	#starts = 0;
	#timer;
	#server;
	/** Late copies of answers, by connection. */
	#copies = new WeakMap();

	constructor(machine, {service, slots = 9, work = 100, answerBytes = 0, pieces = 0, pieceBytes = 100_000, pieceMs = 100}) {
		this.#machine = machine;
		this.service = service;
		this.slots = slots;
		this.work = work;
		this.answerBytes = answerBytes;
		/** A long answer is sent in pieces, as it is computed; 0 for a short one that is sent at once. */
		this.pieces = pieces;
		this.pieceBytes = pieceBytes;
		this.pieceMs = pieceMs;
	}

	/** Starts the upstream; each start is a new process with an id of its own. */
	async listen() {
		this.#starts++;
		this.#running = 0;
		const {host, base, name} = this.#machine;
		this.id = `i-${name}-${this.#starts}`;
		this.born = Date.now();
		this.#sequence = 0;
		this.state = 'ready';
		this.#server = this.serveSocket === undefined
			? this.#createServer()
			: createSocketServer(socket => {
				this.serveSocket(socket);
			});
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(base + 1, host, resolve);
		});
		this.#timer = setInterval(() => {
			void this.sendHeartbeat();
		}, heartbeatIntervalMs);
		// The first ones come soon, as the node may not listen yet.
		for (const delay of [100, 400, 700, 1000]) {
			setTimeout(() => {
				if (this.state === 'ready' && this.#machine.deployment.time < 5) {
					void this.sendHeartbeat();
				}
			}, delay);
		}
	}

	close() {
		clearInterval(this.#timer);
		this.#server?.closeAllConnections?.();
		this.#server?.close();
	}

	/** Sends a heartbeat; resolves to whether it was acknowledged. */
	async sendHeartbeat(changes = {}) {
		if (this.state === 'gone') {
			return false;
		}

		this.#sequence++;
		const {host, base} = this.#machine;
		const status = await this.#machine.sendControl(`/v1/instances/${this.id}/heartbeat`, {
			service: this.service, address: `${host}:${base + 1}`, zone: 'zone-a', version: 'v1', max_concurrency: this.slots, state: this.state, warmup_left_s: 0, seq: this.#sequence, born: this.born, ...changes,
		});
		return status === 200;
	}

	/** Crashes: its connections end, and another process is there after a time in milliseconds. */
	async crash(downtime) {
		this.#machine.deployment.note('upstream crashed', {machine: this.#machine.name, upstream: this.id, inFlight: this.#running});
		this.state = 'gone';
		this.close();
		this.#queue = [];
		await sleep(downtime);
		if (!this.#machine.isStopped) {
			await this.listen();
		}
	}

	/** Says that it ends without having said before that it drains, and serves on. Resolves to whether that was acknowledged. */
	async deregister() {
		clearInterval(this.#timer);
		this.state = 'leaving';
		const status = await this.#machine.sendControl(`/v1/instances/${this.id}/deregister`, {born: this.born});
		return status === 200;
	}

	#createServer() {
		const server = createServer({keepAliveTimeout: 10_000, requestTimeout: 0, maxHeaderSize: 65_536}, (request, response) => {
			void this.#handle(request, response);
		});
		server.maxHeadersCount = 0;
		return server;
	}

	async #handle(request, response) {
		const {deployment, name} = this.#machine;
		const id = request.headers['request-id'];
		const at = {machine: name, upstream: this.id, id};
		if (request.method === 'GET' && request.url === '/health') {
			response.writeHead(this.state === 'ready' ? 200 : 503, {'instance-id': this.id, 'content-length': 0}).end();
			return;
		}

		deployment.note('arrived', {
			...at, method: request.method, path: request.url, caller: request.headers['caller-service'], tenant: request.headers['tenant-id'], key: request.headers['x-api-key'],
		});
		const {socket} = request;
		if (this.onArrival?.(request, response) === true) {
			return;
		}

		const copy = this.#copies.get(socket);
		if (copy !== undefined) {
			// The late second copy of an earlier answer arrives where the answer to this request is expected.
			this.#copies.delete(socket);
			deployment.note('late copy sent', {...at, copyOf: copy.id});
			socket.write(copy.bytes);
		}

		const chunks = [];
		request.on('data', chunk => {
			chunks.push(chunk);
		});
		const isWhole = await new Promise(resolve => {
			request.once('end', () => {
				resolve(true);
			});
			request.once('close', () => {
				resolve(false);
			});
		});
		if (!isWhole) {
			return;
		}

		request.body = Buffer.concat(chunks);
		const target = request.headers['target-instance'];
		if (target !== undefined && target !== this.id) {
			this.#refuse(request, response, 421, 'another upstream is meant');
		} else if (id === undefined) {
			this.#refuse(request, response, 400, 'no id');
		} else if (this.shouldShed(request)) {
			this.#refuse(request, response, 503, 'shed');
		} else if (this.#running >= this.slots) {
			if (this.#queue.length >= this.slots * 4) {
				this.#refuse(request, response, 503, 'full');
				return;
			}

			this.#queue.push([request, response]);
		} else {
			this.#run(request, response);
		}
	}

	#run(request, response) {
		const {deployment, name} = this.#machine;
		const id = request.headers['request-id'];
		const at = {machine: name, upstream: this.id, id};
		if (response.destroyed) {
			this.#startNext();
			return;
		}

		this.#running++;
		deployment.note('runs', {...at, ...this.describeBody?.(request)});
		if (this.isDeadly(request)) {
			void this.crash(this.downtime);
			return;
		}

		let isEnded = false;
		const end = how => {
			if (isEnded) {
				return;
			}

			isEnded = true;
			clearTimeout(timer);
			this.#running--;
			deployment.note(how, at);
			this.#startNext();
		};

		const work = typeof this.work === 'function' ? this.work(request) : this.work;
		const deadline = Number(request.headers['deadline-ms'] ?? Number.POSITIVE_INFINITY);
		const timer = setTimeout(() => {
			end('ran');
			if (work > deadline) {
				this.#answer(request, response, 504, {'server-signature': `sig.${this.id}.${id}`}, 'deadline');
			} else if (this.pieces > 0) {
				void this.#answerInPieces(request, response);
			} else {
				this.#answer(request, response, 200, {'server-signature': `sig.${this.id}.${id}`}, `body of ${id} by ${this.id}`.padEnd(this.sizeOf ? Number(request.url.split('/')[2]) : this.answerBytes, '.').slice(0, this.sizeOf ? Number(request.url.split('/')[2]) : undefined));
			}
		}, Math.min(work, deadline));
		response.once('close', () => {
			end('dropped');
		});
	}

	async #answerInPieces(request, response) {
		const id = request.headers['request-id'];
		response.writeHead(200, {'request-id': id, 'server-signature': `sig.${this.id}.${id}`, 'content-length': this.pieces * this.pieceBytes});
		for (let piece = 0; piece < this.pieces && !response.destroyed; piece++) {
			response.write(Buffer.alloc(this.pieceBytes, 97 + (piece % 26)));
			await sleep(this.pieceMs);
		}

		this.#machine.deployment.note(response.destroyed ? 'answer broken off by the node' : 'answer sent', {machine: this.#machine.name, upstream: this.id, id});
		response.end();
	}

	#startNext() {
		while (this.#running < this.slots && this.#queue.length > 0) {
			this.#run(...this.#queue.shift());
		}
	}

	#refuse(request, response, status, reason) {
		this.#machine.deployment.note('refused by upstream', {
			machine: this.#machine.name, upstream: this.id, id: request.headers['request-id'], status, reason,
		});
		this.#answer(request, response, status, {'not-executed': '1'}, '');
	}

	/** Upstreams repeat the id of the request in all their responses. */
	#answer(request, response, status, headers, body) {
		if (response.destroyed) {
			return;
		}

		const id = request.headers['request-id'];
		const all = {...(id !== undefined && {'request-id': id}), ...headers, 'content-length': Buffer.byteLength(body)};
		response.writeHead(status, all);
		response.end(body);
		if (this.shouldRepeat(request, status)) {
			const head = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`).join('');
			this.#copies.set(request.socket, {id, bytes: `HTTP/1.1 ${status} ${status === 200 ? 'OK' : 'Refused'}\r\n${head}\r\n${body}`});
		}
	}
}
