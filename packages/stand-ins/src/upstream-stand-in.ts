/** An upstream that behaves well, or as badly as it is told to. */
import {appendFileSync} from 'node:fs';
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import process from 'node:process';
import {buffer} from 'node:stream/consumers';
import {computeDigest} from '@ebonylead/base/hash.js';

/** How a stand-in upstream behaves. */
export type UpstreamStandInOptions = {
	/** Name in its answers. */
	readonly id: string;
	readonly port: number;
	readonly service: string;
	readonly slots: number;
	readonly connections: number;

	/** Time of one call in milliseconds. */
	readonly serviceTime: number;

	/** Time after the start in which calls take four times as long, in milliseconds. */
	readonly coldStart?: number;

	/** Address of the node to announce to; undefined to stay silent. */
	readonly announceUrl?: string;

	/** Ends the process at a request with the header `x-crash`. */
	readonly isCrashable?: boolean;

	/** File to which each run is added as a line of JSON, so that a log outlives the process. */
	readonly runLogFile?: string;
};

/** One run of a request, for the checkers of histories. */
export type Run = {
	readonly requestId: string;
	readonly upstream: string;
	readonly method: string;

	/** Time of the start in milliseconds since the Unix epoch. */
	readonly startedAt: number;
	isCancelled: boolean;
};

const announceIntervalMs = 1000;
const coldStartFactor = 4;
const drainPollIntervalMs = 20;

/** Serves calls, keeps a log of every run and announces itself to its node. */
export class UpstreamStandIn {
	readonly runs: Run[] = [];

	/** Whether the health endpoint says "healthy" whatever the truth. */
	isHealthFaked = false;

	/** Whether it answers nothing more while its connections stay open. */
	isUnresponsive = false;
	readonly #options: UpstreamStandInOptions;
	readonly #server: Server;
	readonly #startedAt = Date.now();
	#inFlight = 0;
	#isDraining = false;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: UpstreamStandInOptions) {
		this.#options = options;
		this.#server = createServer((request, response) => {
			void this.#handleRequest(request, response);
		});
		this.#server.keepAliveTimeout = 30_000;
	}

	/** Listens, and announces itself from then on. */
	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(this.#options.port, '127.0.0.1', resolve);
		});
		this.#timer = setInterval(() => {
			void this.#announce();
		}, announceIntervalMs);
		await this.#announce();
	}

	/** Announces that it leaves, finishes what runs, and closes. */
	async drainAndStop(): Promise<void> {
		this.#isDraining = true;
		await this.#announce();
		const isIdle = () => this.#inFlight === 0;
		const end = Date.now() + 5000;
		await sleep(2500);
		while (!isIdle() && Date.now() < end) {
			await sleep(drainPollIntervalMs);
		}

		this.stop();
	}

	/** Closes at once. */
	stop(): void {
		clearInterval(this.#timer);
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #announce(): Promise<void> {
		const {announceUrl, service, slots, connections, port} = this.#options;
		if (announceUrl === undefined) {
			return;
		}

		try {
			await fetch(announceUrl, {
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({
					service, slots, connections, url: `http://127.0.0.1:${port}`, state: this.#isDraining ? 'draining' : 'ready',
				}),
				signal: AbortSignal.timeout(announceIntervalMs),
			});
		} catch {
			// The node may be restarting; the next announcement follows in a second.
		}
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		switch (request.url ?? '/') {
			case '/runs': {
				response.end(JSON.stringify(this.runs));
				return;
			}

			case '/health': {
				response.writeHead(this.isHealthFaked || !this.#isDraining ? 200 : 503).end();
				return;
			}

			case '/load': {
				const load = this.isHealthFaked ? 0 : this.#inFlight / this.#options.slots;
				response.end(String(load));
				return;
			}

			default: {
				await this.#handleCall(request, response);
			}
		}
	}

	async #handleCall(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (this.#inFlight >= this.#options.slots * 2) {
			response.writeHead(503).end('shed');
			return;
		}

		const run: Run = {
			requestId: String(request.headers['x-request-id'] ?? ''), upstream: this.#options.id, method: request.method ?? '', startedAt: Date.now(), isCancelled: false,
		};
		this.#recordRun(run);
		this.#inFlight++;
		response.on('close', () => {
			this.#inFlight--;
			run.isCancelled = !response.writableFinished;
		});
		if (this.#options.isCrashable && request.headers['x-crash'] !== undefined) {
			process.exit(1);
		}

		await this.#sendResponse(request, response);
	}

	async #sendResponse(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await buffer(request).catch(() => undefined);
		if (body === undefined || this.isUnresponsive) {
			return;
		}

		await sleep(this.#computeServiceTime());
		const responseBody = JSON.stringify({
			upstream: this.#options.id,
			requestId: request.headers['x-request-id'],
			path: request.url,
			method: request.method,
			bodyDigest: computeDigest(body),
			attempt: request.headers['x-ebonylead-attempt'],
			deadline: request.headers['x-ebonylead-deadline'],
		});
		response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(responseBody)}).end(responseBody);
	}

	#recordRun(run: Run): void {
		this.runs.push(run);
		if (this.#options.runLogFile !== undefined) {
			appendFileSync(this.#options.runLogFile, `${JSON.stringify(run)}\n`);
		}
	}

	#computeServiceTime(): number {
		const isCold = Date.now() - this.#startedAt < (this.#options.coldStart ?? 0);
		return this.#options.serviceTime * (isCold ? coldStartFactor : 1);
	}
}

async function sleep(duration: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, duration);
	});
}
