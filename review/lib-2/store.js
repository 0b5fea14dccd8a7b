/* eslint camelcase: "off" -- The names are those of the pages. */
/** Stand-in of the platform's store, by PROTOCOL.md: tables of rows, change feeds and atomic transactions. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import process from 'node:process';
import {text as readText} from 'node:stream/consumers';

const maxRowsPerPage = 500;

/** Keeps all rows in memory. */
export class Store {
	/** Whether the store is down; it then answers every call with status 503, which means that nothing was done. */
	isDown = false;
	#rows = new Map();
	#revision = 0;
	#waiters = new Set();
	#startedAt = performance.now();
	#server = createServer((request, response) => {
		this.#handle(request, response).catch(error => {
			process.stderr.write(`store: ${error.stack}\n`);
			response.destroy();
		});
	});

	/** Starts to listen on a free port; returns the address. */
	async listen() {
		await new Promise(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${this.#server.address().port}`;
	}

	/** Writes the operator's configuration; the return is its acknowledgement. */
	writeConfiguration(configuration) {
		this.#put({
			table: 'op', part: '', key: 'config', value: Buffer.from(JSON.stringify(configuration)).toString('base64'),
		});
	}

	/** Returns the decoded rows of a table. */
	readRows(table) {
		return this.#list(table, '').map(row => JSON.parse(Buffer.from(row.value, 'base64').toString()));
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	async #handle(request, response) {
		const url = new URL(request.url, 'http://store');
		const query = url.searchParams;
		const text = await readText(request);
		if (this.isDown) {
			response.writeHead(503).end();
			return;
		}

		switch (`${request.method} ${url.pathname}`) {
			case 'POST /v1/rows-tx': {
				this.#transact(JSON.parse(text), response);
				return;
			}

			case 'GET /v1/rows-get': {
				this.#sendPage(query, response);
				return;
			}

			case 'GET /v1/rows-feed': {
				await this.#feed(query, response);
				return;
			}

			default: {
				response.writeHead(404).end();
			}
		}
	}

	#sendPage(query, response) {
		const from = query.get('from') ?? '';
		const to = query.get('to') ?? undefined;
		const rows = this.#list(query.get('table'), query.get('part') ?? '').filter(({key}) => key >= from && (to === undefined || key < to));
		const limit = Math.min(maxRowsPerPage, Number(query.get('limit') ?? maxRowsPerPage));
		this.#send(response, 200, {rows: rows.slice(0, limit), has_more: rows.length > limit});
	}

	async #feed(query, response) {
		const table = query.get('table');
		const after = Number(query.get('after'));
		const end = performance.now() + Number(query.get('wait_ms') ?? 0);
		const listChanged = () => [...this.#rows.values()].filter(row => row.table === table && row.resource_version > after).toSorted((left, right) => left.resource_version - right.resource_version);
		while (listChanged().length === 0 && performance.now() < end && !response.destroyed) {
			await new Promise(resolve => {
				const timer = setTimeout(resolve, end - performance.now());
				this.#waiters.add(() => {
					clearTimeout(timer);
					resolve();
				});
			});
		}

		if (this.isDown) {
			response.writeHead(503).end();
		} else {
			this.#send(response, 200, {rows: listChanged()});
		}
	}

	#transact({expect = [], put = [], remove = []}, response) {
		const find = ({table, part, key}) => this.#rows.get(JSON.stringify([table, part ?? '', key]));
		const getVersion = row => row === undefined || row.deleted ? 0 : row.resource_version;
		if (expect.some(row => getVersion(find(row)) !== row.resource_version)) {
			this.#send(response, 412, {rows: expect.map(row => find(row)).filter(row => row !== undefined && !row.deleted)});
			return;
		}

		if ([...put, ...remove].some(({table}) => table === 'op' || table === 'servers')) {
			response.writeHead(403).end();
			return;
		}

		this.#revision++;
		for (const row of put) {
			this.#set({...row, part: row.part ?? ''});
		}

		for (const {table, part, key} of remove) {
			this.#set({
				table, part: part ?? '', key, deleted: true,
			});
		}

		this.#wake();
		this.#send(response, 200, {});
	}

	#put(row) {
		this.#revision++;
		this.#set(row);
		this.#wake();
	}

	#set(row) {
		this.#rows.set(JSON.stringify([row.table, row.part, row.key]), {...row, resource_version: this.#revision});
	}

	#wake() {
		for (const wake of this.#waiters) {
			wake();
		}

		this.#waiters.clear();
	}

	#list(table, part) {
		return [...this.#rows.values()]
			.filter(row => row.table === table && row.part === part && !row.deleted)
			.toSorted((left, right) => Buffer.compare(Buffer.from(left.key), Buffer.from(right.key)));
	}

	#send(response, status, body) {
		response.writeHead(status, {'content-type': 'application/json'}).end(JSON.stringify({
			...body, resource_version: this.#revision, now_s: (performance.now() - this.#startedAt) / 1000,
		}));
	}
}
