/** Sends messages about quotas over HTTP. */
import {readBoundedText} from '@ebonylead/base/bounded-text.js';
import {StepError} from '@ebonylead/base/errors.js';
import {Agent} from 'undici';
import {maxQuotaMessageBytes, quotaPath} from './quota-messages.js';
import {type QuotaTransport} from './quota-node.js';

/** Longest time in milliseconds of an exchange; three in a row are shorter than the time after which a node limits itself. */
const requestTimeoutMs = 300;

/** Time in milliseconds after which an unused connection is closed: longer than the interval of reports. */
const idleTimeoutMs = 4000;
const statusOk = 200;

/** Holds a connection to the home, and on the home one to each node that it has lately sent limits to. */
export class HttpQuotaTransport implements QuotaTransport {
	readonly #agent = new Agent({
		connections: 1, connect: {timeout: requestTimeoutMs}, headersTimeout: requestTimeoutMs, bodyTimeout: requestTimeoutMs, keepAliveTimeout: idleTimeoutMs, maxResponseSize: maxQuotaMessageBytes,
	});

	/**
	 * Sends a message, and returns the response.
	 *
	 * @throws StepError if the node does not know such messages; Error if it does not respond in time.
	 */
	async send(origin: string, text: string): Promise<string> {
		const {statusCode, body} = await this.#agent.request({
			origin, method: 'POST', path: quotaPath, body: text, headers: {'content-type': 'application/json'}, signal: AbortSignal.timeout(requestTimeoutMs),
		});
		const response = await readBoundedText(body, maxQuotaMessageBytes, origin);
		if (statusCode !== statusOk) {
			throw new StepError('exchange quotas', origin, `status ${statusCode}`);
		}

		return response;
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}
}
