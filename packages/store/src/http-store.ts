/** Client of the platform's table service and object store, over HTTP with JSON. */
import {Buffer} from 'node:buffer';
import {OutcomeUnknownError, StepError, describeError} from '@ebonylead/base/errors.js';
import {Pool, type Dispatcher} from 'undici';
import {
	type ObjectStore, type Row, type TableService, type Transaction, type TransactionOutcome,
} from './store.js';

/** Settings of the connection to the platform. */
export type HttpStoreOptions = {
	/** Base address, such as `http://10.0.0.1:7000`. */
	readonly url: string;

	/** Timeout of one operation in milliseconds. */
	readonly timeout: number;
};

const maxConnections = 4;
const statusConflict = 409;
const statusNotFound = 404;
const statusUnavailable = 503;

/** Codes of errors that occur before a request is sent. */
const unsentErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

type HttpResponse = {
	readonly status: number;
	readonly body: Buffer;
};

/** Client of the table service and the object store; one connection pool for both. */
export class HttpStore implements TableService, ObjectStore {
	readonly #pool: Pool;
	readonly #peer: string;
	readonly #timeout: number;

	constructor(options: HttpStoreOptions) {
		this.#peer = `platform ${options.url}`;
		this.#timeout = options.timeout;
		this.#pool = new Pool(options.url, {connections: maxConnections, connect: {timeout: options.timeout}});
	}

	async readRow(key: string): Promise<Row | undefined> {
		const response = await this.#sendRequest('read row', 'GET', `/table/row?key=${encodeURIComponent(key)}`);
		if (response.status === statusNotFound) {
			return undefined;
		}

		this.#validateStatus('read row', response);
		return JSON.parse(response.body.toString()) as Row;
	}

	async listRows(prefix: string): Promise<Row[]> {
		const response = await this.#sendRequest('list rows', 'GET', `/table/rows?prefix=${encodeURIComponent(prefix)}`);
		this.#validateStatus('list rows', response);
		return JSON.parse(response.body.toString()) as Row[];
	}

	async runTransaction(transaction: Transaction): Promise<TransactionOutcome> {
		const response = await this.#sendRequest('run transaction', 'POST', '/table/transaction', JSON.stringify(transaction));
		if (response.status === statusConflict) {
			return 'conflict';
		}

		this.#validateStatus('run transaction', response);
		return 'committed';
	}

	async writeObject(digest: string, bytes: Uint8Array): Promise<void> {
		const response = await this.#sendRequest('write object', 'PUT', `/objects/${digest}`, bytes);
		this.#validateStatus('write object', response);
	}

	async readObject(digest: string): Promise<Uint8Array | undefined> {
		const response = await this.#sendRequest('read object', 'GET', `/objects/${digest}`);
		if (response.status === statusNotFound) {
			return undefined;
		}

		this.#validateStatus('read object', response);
		return response.body;
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}

	async #sendRequest(step: string, method: Dispatcher.HttpMethod, path: string, body?: string | Uint8Array): Promise<HttpResponse> {
		try {
			const response = await this.#pool.request({
				method, path, body, signal: AbortSignal.timeout(this.#timeout),
			});
			return {status: response.statusCode, body: Buffer.from(await response.body.arrayBuffer())};
		} catch (error) {
			const code = (error as NodeJS.ErrnoException).code ?? '';
			const isUnsent = unsentErrorCodes.has(code);
			const ErrorClass = method === 'POST' && !isUnsent ? OutcomeUnknownError : StepError;
			throw new ErrorClass(step, this.#peer, describeError(error), {cause: error});
		}
	}

	#validateStatus(step: string, response: HttpResponse): void {
		if (response.status === statusUnavailable) {
			throw new StepError(step, this.#peer, 'the service is unavailable');
		}

		if (response.status >= 300) {
			throw new StepError(step, this.#peer, `status ${response.status}: ${response.body.toString().slice(0, 200)}`);
		}
	}
}
