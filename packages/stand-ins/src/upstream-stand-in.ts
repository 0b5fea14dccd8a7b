/** HTTP server that stands in for an upstream, with faults on demand. */
import {appendFileSync} from 'node:fs';
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import process from 'node:process';
import {buffer} from 'node:stream/consumers';
import {computeDigest} from '@ebonylead/base/hash.js';

/** Options of a stand-in upstream. */
export type UpstreamStandInOptions = {
	/** Name of the upstream in its responses and runs. */
	readonly id: string;
	readonly port: number;
	readonly service: string;

	/** Number of slots that it announces; with twice as many calls in flight, it responds to further ones with status 503. */
	readonly slots: number;

	/** Number of connections that it announces. */
	readonly connections: number;

	/** Duration of one call in milliseconds. */
	readonly serviceTime: number;

	/** Milliseconds after the start during which calls take four times as long. */
	readonly coldStart?: number;

	/** URL of the node's announcement endpoint; no announcements are sent if undefined. */
	readonly announceUrl?: string;

	/** Whether a request with the header `x-crash` ends the process. */
	readonly isCrashable?: boolean;

	/** File to which each run is appended as a line of JSON, so that the log survives the process. */
	readonly runLogFile?: string;
};

/** One run of a request at an upstream, for checks after a test. */
export type Run = {
	readonly requestId: string;
	readonly upstream: string;
	readonly method: string;

	/** Time of the start in milliseconds since the Unix epoch. */
	readonly startedAt: number;

	/** Whether the connection closed before the response was sent. */
	isCancelled: boolean;
};

const announceIntervalMs = 1000;
const coldStartFactor = 4;
const drainPollIntervalMs = 20;

/** Serves calls, records each run, and announces itself to its node. */
export class UpstreamStandIn {
	readonly runs: Run[] = [];

	/** Whether the health and load endpoints report a healthy, idle upstream regardless of its state. */
	isHealthFaked = false;

	/** Whether calls get no response, while their connections stay open. */
	isUnresponsive = false;
	readonly #options: UpstreamStandInOptions;
	readonly #server: Server;
	readonly #startedAt = Date.now();
	#inFlightCount = 0;
	#isDraining = false;
	#announceTimer: NodeJS.Timeout | undefined;

	constructor(options: UpstreamStandInOptions) {
		this.#options = options;
		this.#server = createServer((request, response) => {
			void this.#handleRequest(request, response);
		});
		this.#server.keepAliveTimeout = 30_000;
	}

	/** Starts to listen, and to announce itself at an interval. */
	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(this.#options.port, '127.0.0.1', resolve);
		});
		this.#announceTimer = setInterval(() => {
			void this.#announce();
		}, announceIntervalMs);
		await this.#announce();
	}

	/** Announces that it drains, waits at least 2.5 s and at most 5 s until no call is in flight, and closes. */
	async drainAndStop(): Promise<void> {
		this.#isDraining = true;
		await this.#announce();
		const isIdle = () => this.#inFlightCount === 0;
		const end = Date.now() + 5000;
		await sleep(2500);
		while (!isIdle() && Date.now() < end) {
			await sleep(drainPollIntervalMs);
		}

		this.stop();
	}

	/** Closes the server and its connections at once. */
	stop(): void {
		clearInterval(this.#announceTimer);
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
			// The node may be restarting; the next interval announces again.
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
				const load = this.isHealthFaked ? 0 : this.#inFlightCount / this.#options.slots;
				response.end(String(load));
				return;
			}

			default: {
				await this.#handleCall(request, response);
			}
		}
	}

	async #handleCall(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (this.#inFlightCount >= this.#options.slots * 2) {
			response.writeHead(503).end('shed');
			return;
		}

		const run: Run = {
			requestId: String(request.headers['x-request-id'] ?? ''), upstream: this.#options.id, method: request.method ?? '', startedAt: Date.now(), isCancelled: false,
		};
		this.#recordRun(run);
		this.#inFlightCount++;
		response.on('close', () => {
			this.#inFlightCount--;
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
