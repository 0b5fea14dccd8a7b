/* eslint-disable camelcase -- The names of the users' pages. */
/** The platform's metadata store as PROTOCOL.md describes its rows: tables, transactions on conditions, change feeds and eras. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {text as readText} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {detach} from './record.js';

const transactionMs = 4;
const maxRows = 500;
const lateWriteMs = 3000;

/** Orders keys by their bytes. */
function compareKeys(left, right) {
	return Buffer.compare(Buffer.from(left), Buffer.from(right));
}

/** The store. It loses nothing that it acknowledged, and its responses are linearizable. */
export class Store {
	/** How the store is disturbed: undefined, or a function of a request that returns `silent`, `busy`, `reset`, `lost` (a write is done, and not answered), `late` (it is done seconds later, if its condition still holds), or undefined for no trouble. */
	trouble;
	era = 1;
	calls = 0;
	#rows = new Map();
	#revision = 0;
	#waiters = new Set();
	#firstKept = 0;
	#server = createServer((request, response) => {
		detach(this.#handle(request, response));
	});

	async listen(host, port) {
		await new Promise((resolve, reject) => {
			this.#server.once('error', reject).listen(port, host, resolve);
		});
		this.address = `${host}:${port}`;
	}

	/** Writes a row as the operator does; returns when it is acknowledged. */
	write(table, key, value) {
		this.#set({
			table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64'),
		});
	}

	/** Returns the decoded rows of a table by key. */
	read(table) {
		return Object.fromEntries([...this.#rows.values()].filter(row => row.table === table && !row.deleted).map(row => [row.key, JSON.parse(Buffer.from(row.value, 'base64').toString())]));
	}

	/** Forgets the history of changes. */
	forgetHistory() {
		this.#firstKept = this.#revision;
	}

	/** Copies what the store holds at this moment. */
	copy() {
		return {rows: new Map(this.#rows), revision: this.#revision};
	}

	/** Comes back from a copy: what was written since is gone, versions go back, and the era rises by one. */
	restore({rows, revision}) {
		this.#rows = new Map(rows);
		this.#revision = revision;
		this.#firstKept = Math.min(this.#firstKept, revision);
		this.era++;
		this.#server.closeAllConnections();
	}

	close() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	async #handle(request, response) {
		this.calls++;
		const trouble = this.trouble?.(request);
		if (trouble === 'silent') {
			return;
		}

		if (trouble === 'busy') {
			response.writeHead(503, {'store-era': this.era}).end();
			return;
		}

		if (trouble === 'reset') {
			request.socket.resetAndDestroy();
			return;
		}

		const url = new URL(request.url, 'http://store');
		if (url.pathname === '/v1/rows-tx') {
			const transaction = JSON.parse(await readText(request));
			await sleep(transactionMs);
			if (trouble === 'late') {
				setTimeout(() => {
					this.#apply(transaction);
				}, lateWriteMs);
				return;
			}

			const {status, rows} = this.#apply(transaction);
			if (trouble === 'lost') {
				request.socket.destroy();
				return;
			}

			this.#send(response, status, {rows});
			return;
		}

		await sleep(transactionMs);
		const table = url.searchParams.get('table');
		if (url.pathname === '/v1/rows-get') {
			const from = url.searchParams.get('from') ?? '';
			const rows = this.#list(table).filter(row => !row.deleted && compareKeys(row.key, from) >= 0).toSorted((left, right) => compareKeys(left.key, right.key));
			this.#send(response, 200, {rows: rows.slice(0, maxRows), has_more: rows.length > maxRows});
			return;
		}

		const after = Number(url.searchParams.get('after'));
		if (after > this.#revision || after < this.#firstKept) {
			this.#send(response, 410, {});
			return;
		}

		await this.#wait(table, after, Number(url.searchParams.get('wait_ms') ?? 0));
		const changed = this.#list(table).filter(row => row.resource_version > after).toSorted((left, right) => left.resource_version - right.resource_version);
		this.#send(response, 200, {rows: changed});
	}

	#apply({expect = [], put = [], remove = []}) {
		const find = row => this.#rows.get(`${row.table} ${row.part} ${row.key}`);
		const isMet = expect.every(row => {
			const current = find(row);
			return (current === undefined || current.deleted ? 0 : current.resource_version) === row.resource_version;
		});
		if (!isMet) {
			return {status: 412, rows: expect.map(row => find(row)).filter(row => row && !row.deleted)};
		}

		for (const row of put) {
			this.#set(row);
		}

		for (const row of remove) {
			this.#set({...row, deleted: true});
		}

		return {status: 200};
	}

	#set(row) {
		this.#revision++;
		this.#rows.set(`${row.table} ${row.part} ${row.key}`, {...row, resource_version: this.#revision});
		for (const wake of this.#waiters) {
			wake();
		}
	}

	#list(table) {
		return [...this.#rows.values()].filter(row => row.table === table);
	}

	async #wait(table, after, duration) {
		const end = performance.now() + Math.min(duration, 30_000);
		while (performance.now() < end && !this.#list(table).some(row => row.resource_version > after)) {
			await new Promise(resolve => {
				const timer = setTimeout(() => {
					wake();
				}, Math.max(1, end - performance.now()));
				const wake = () => {
					clearTimeout(timer);
					this.#waiters.delete(wake);
					resolve();
				};

				this.#waiters.add(wake);
			});
		}
	}

	#send(response, status, body) {
		response.writeHead(status, {'content-type': 'application/json', 'store-era': this.era});
		response.end(JSON.stringify({...body, resource_version: this.#revision, now_s: performance.now() / 1000}));
	}
}
