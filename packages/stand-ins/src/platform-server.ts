/** HTTP server for the fake platform, for tests with separate processes. */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {buffer} from 'node:stream/consumers';
import {SystemClock} from '@ebonylead/base/base.js';
import {OutcomeUnknownError} from '@ebonylead/base/errors.js';
import {type Transaction} from '@ebonylead/store/store.js';
import {FakePlatform, type PlatformFaults} from './fake-platform.js';

/** Starts a fake platform that listens on a port of the loopback address. */
export async function startPlatformServer(port: number): Promise<FakePlatform> {
	const platform = new FakePlatform(new SystemClock());
	const server = createServer((request, response) => {
		void handleRequest(platform, request, response);
	});
	await new Promise<void>(resolve => {
		server.listen(port, '127.0.0.1', resolve);
	});
	return platform;
}

async function handleRequest(platform: FakePlatform, request: IncomingMessage, response: ServerResponse): Promise<void> {
	try {
		await new PlatformRequest(platform, request, response).handle();
	} catch (error) {
		if (error instanceof OutcomeUnknownError) {
			// Closes the connection without a response, so that the client can't know the outcome either.
			response.destroy();
			return;
		}

		response.writeHead(503).end(String(error));
	}
}

/** Handles one HTTP request to the platform. */
class PlatformRequest {
	readonly #platform: FakePlatform;
	readonly #request: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #url: URL;

	constructor(platform: FakePlatform, request: IncomingMessage, response: ServerResponse) {
		this.#platform = platform;
		this.#request = request;
		this.#response = response;
		this.#url = new URL(request.url ?? '/', 'http://platform');
	}

	async handle(): Promise<void> {
		const {pathname} = this.#url;
		switch (`${this.#request.method} ${pathname}`) {
			case 'GET /table/row': {
				this.#sendJson(await this.#platform.readRow(this.#url.searchParams.get('key') ?? ''));
				return;
			}

			case 'GET /table/rows': {
				this.#sendJson(await this.#platform.listRows(this.#url.searchParams.get('prefix') ?? ''));
				return;
			}

			case 'POST /table/transaction': {
				const transaction = JSON.parse(await this.#readText()) as Transaction;
				const outcome = await this.#platform.runTransaction(transaction);
				this.#response.writeHead(outcome === 'committed' ? 200 : 409).end();
				return;
			}

			case 'POST /faults': {
				Object.assign(this.#platform.faults, JSON.parse(await this.#readText()) as Partial<PlatformFaults>);
				this.#response.end();
				return;
			}

			case 'GET /counts': {
				this.#sendJson(this.#platform.counts);
				return;
			}

			default: {
				await this.#handleObject(pathname.replace('/objects/', ''));
			}
		}
	}

	async #handleObject(digest: string): Promise<void> {
		if (this.#request.method === 'PUT') {
			await this.#platform.writeObject(digest, await buffer(this.#request));
			this.#response.end();
			return;
		}

		const bytes = await this.#platform.readObject(digest);
		this.#response.writeHead(bytes === undefined ? 404 : 200).end(bytes);
	}

	#sendJson(value: unknown): void {
		this.#response.writeHead(value === undefined ? 404 : 200).end(value === undefined ? undefined : JSON.stringify(value));
	}

	async #readText(): Promise<string> {
		const bytes = await buffer(this.#request);
		return bytes.toString();
	}
}
