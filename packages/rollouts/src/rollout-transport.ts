/** Sends reports over HTTP. */
import {readBoundedText} from '@ebonylead/base/bounded-text.js';
import {StepError} from '@ebonylead/base/errors.js';
import {Agent} from 'undici';
import {rolloutPath} from './rollout-messages.js';

/** Longest time in milliseconds of a report and its reply: the next in rank must have it before the next report is due. */
const requestTimeoutMs = 500;

/** Time in milliseconds after which an unused connection is closed; longer than the interval of the reports. */
const idleTimeoutMs = 4000;
const maxReplyBytes = 4096;
const statusOk = 200;

/** Holds a connection to each coordinator that it has lately sent to. */
export class HttpRolloutTransport {
	readonly #agent = new Agent({
		connections: 1, connect: {timeout: requestTimeoutMs}, headersTimeout: requestTimeoutMs, bodyTimeout: requestTimeoutMs, keepAliveTimeout: idleTimeoutMs, maxResponseSize: maxReplyBytes,
	});

	/**
	 * Sends a report to a node, and returns the text of its reply.
	 *
	 * @throws StepError if the node takes no reports; Error if it does not respond in time.
	 */
	async send(origin: string, text: string): Promise<string> {
		const {statusCode, body} = await this.#agent.request({
			origin, method: 'POST', path: rolloutPath, body: text, headers: {'content-type': 'application/json'}, signal: AbortSignal.timeout(requestTimeoutMs),
		});
		const reply = await readBoundedText(body, maxReplyBytes, origin);
		if (statusCode !== statusOk) {
			throw new StepError('send report', origin, `status ${statusCode}`);
		}

		return reply;
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}
}
