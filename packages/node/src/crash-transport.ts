/** Sends what nodes know of crashes over HTTP. */
import {readBoundedText} from '@ebonylead/base/bounded-text.js';
import {StepError} from '@ebonylead/base/errors.js';
import {crashPath, maxCrashBytes} from '@ebonylead/upstreams/mesh-listener.js';
import {Agent} from 'undici';

/** Longest time in milliseconds of an exchange. */
const requestTimeoutMs = 500;

/** Time in milliseconds after which an unused connection is closed. */
const idleTimeoutMs = 4000;
const statusOk = 200;

/** Holds a connection to each node that it has lately sent to. */
export class HttpCrashTransport {
	readonly #agent = new Agent({
		connections: 1, connect: {timeout: requestTimeoutMs}, headersTimeout: requestTimeoutMs, bodyTimeout: requestTimeoutMs, keepAliveTimeout: idleTimeoutMs, maxResponseSize: maxCrashBytes,
	});

	/**
	 * Sends a text to a node, and returns its response.
	 *
	 * @throws StepError if the node does not know such messages; Error if it does not respond in time.
	 */
	async send(origin: string, text: string): Promise<string> {
		const {statusCode, body} = await this.#agent.request({
			origin, method: 'POST', path: crashPath, body: text, headers: {'content-type': 'application/json'}, signal: AbortSignal.timeout(requestTimeoutMs),
		});
		const response = await readBoundedText(body, maxCrashBytes, origin);
		if (statusCode !== statusOk) {
			throw new StepError('exchange crashes', origin, `status ${statusCode}`);
		}

		return response;
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}
}
