/** Opens the feed of another node. */
import {StepError} from '@ebonylead/base/errors.js';
import {feedPath} from '@ebonylead/upstreams/mesh-listener.js';
import {Agent} from 'undici';

/** Opens feeds of other nodes. */
export type FeedTransport = {
	/**
	 * Opens the feed of a node.
	 *
	 * @param versions Versions that the receiver keeps.
	 * @returns The bytes of the feed's lines, until the feed ends or the signal is aborted.
	 */
	open(origin: string, versions: readonly number[], signal: AbortSignal): Promise<AsyncIterable<Uint8Array>>;

	/** Closes all connections. */
	close(): Promise<void>;
};

const connectTimeoutMs = 500;
const statusOk = 200;

/** Opens feeds over HTTP. Its caller ends a feed that is silent for too long. */
export class HttpFeedTransport implements FeedTransport {
	readonly #agent = new Agent({connect: {timeout: connectTimeoutMs}, headersTimeout: 0, bodyTimeout: 0});

	async open(origin: string, versions: readonly number[], signal: AbortSignal): Promise<AsyncIterable<Uint8Array>> {
		const response = await this.#agent.request({
			origin, method: 'GET', path: `${feedPath}?versions=${versions.join(',')}`, signal,
		});
		if (response.statusCode !== statusOk) {
			throw new StepError('open feed', origin, `status ${response.statusCode}`);
		}

		return response.body as AsyncIterable<Uint8Array>;
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}
}
