/* eslint-disable camelcase, no-void -- The wire has names of its own, and the stand-ins run beside each other. */
/** Stand-in of the platform's store: tables of rows, conditional transactions and feeds, as PROTOCOL.md has them. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {text as readText} from 'node:stream/consumers';

/** The store. It keeps all rows in memory and loses nothing. */
export class Store {
	/** 'up', or how it is down: 'busy' (503), 'silent' or 'reset'. */
	mode = 'up';
	#rows = new Map();
	#version = 0;
	#waiters = new Set();
	#startedAt = performance.now();
	#server = createServer((request, response) => {
		void this.#handle(request, response);
	});

	async listen() {
		await new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		this.#server.keepAliveTimeout = 60_000;
		this.address = `127.0.0.1:${this.#server.address().port}`;
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Writes a row as the operator does. */
	writeRow(table, key, text) {
		this.#version++;
		this.#put({
			table, part: '', key, value: Buffer.from(text).toString('base64'),
		});
		this.#wake();
	}

	/** Returns the decoded rows of a table by key. */
	readTable(table) {
		return new Map(this.#list(table, 0).filter(row => !row.deleted).map(row => [row.key, JSON.parse(Buffer.from(row.value, 'base64').toString())]));
	}

	/** Makes the store unavailable; requests that wait get no answer. */
	setMode(mode) {
		this.mode = mode;
		if (mode === 'reset') {
			this.#server.closeAllConnections();
		}
	}

	async #handle(request, response) {
		const body = await readText(request).catch(() => undefined);
		if (body === undefined || this.#isDown(request, response)) {
			return;
		}

		const url = new URL(request.url, 'http://store');
		const get = name => url.searchParams.get(name) ?? '';
		switch (url.pathname) {
			case '/v1/rows-tx': {
				this.#transact(JSON.parse(body), response);
				return;
			}

			case '/v1/rows-get': {
				const from = get('from');
				const to = get('to');
				const rows = this.#list(get('table'), 0).filter(row => !row.deleted && row.part === get('part') && row.key >= from && (to === '' || row.key < to));
				rows.sort((left, right) => Buffer.compare(Buffer.from(left.key), Buffer.from(right.key)));
				const limit = Math.min(500, Number(get('limit')) || 500);
				this.#send(response, 200, {rows: rows.slice(0, limit), has_more: rows.length > limit});
				return;
			}

			case '/v1/rows-feed': {
				await this.#feed(request, response, get('table'), Number(get('after')), Math.min(30_000, Number(get('wait_ms'))));
				return;
			}

			default: {
				response.writeHead(404).end();
			}
		}
	}

	#isDown(request, response) {
		if (this.mode === 'busy') {
			response.writeHead(503).end();
		} else if (this.mode === 'reset') {
			request.socket.resetAndDestroy();
		}

		return this.mode !== 'up';
	}

	async #feed(request, response, table, after, wait) {
		const deadline = performance.now() + wait;
		for (;;) {
			const rows = this.#list(table, after);
			const left = deadline - performance.now();
			if (rows.length > 0 || left <= 0) {
				if (!this.#isDown(request, response)) {
					this.#send(response, 200, {rows});
				}

				return;
			}

			await new Promise(resolve => {
				const timer = setTimeout(resolve, left);
				this.#waiters.add(() => {
					clearTimeout(timer);
					resolve();
				});
			});
		}
	}

	#transact({expect = [], put = [], remove = []}, response) {
		const current = expect.map(row => this.#rows.get(buildKey(row)));
		if (expect.some((row, index) => (current[index] === undefined || current[index].deleted ? 0 : current[index].resource_version) !== row.resource_version)) {
			this.#send(response, 412, {rows: current.filter(row => row !== undefined && !row.deleted)});
			return;
		}

		this.#version++;
		for (const row of put) {
			this.#put(row);
		}

		for (const row of remove) {
			this.#put({...row, value: undefined, deleted: true});
		}

		this.#wake();
		// A transaction takes 4 ms.
		setTimeout(() => {
			this.#send(response, 200, {});
		}, 4);
	}

	#put(row) {
		this.#rows.set(buildKey(row), {...row, part: row.part ?? '', resource_version: this.#version});
	}

	#wake() {
		const waiters = [...this.#waiters];
		this.#waiters.clear();
		for (const wake of waiters) {
			wake();
		}
	}

	#list(table, after) {
		return [...this.#rows.values()].filter(row => row.table === table && row.resource_version > after).toSorted((left, right) => left.resource_version - right.resource_version);
	}

	#send(response, status, value) {
		const text = JSON.stringify({...value, resource_version: this.#version, now_s: (performance.now() - this.#startedAt) / 1000});
		response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}).end(text);
	}
}

function buildKey({table, part = '', key}) {
	return `${table}\n${part}\n${key}`;
}
