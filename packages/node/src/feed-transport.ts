/** Opens the feed of another node. */
import {StepError} from '@ebonylead/base/errors.js';
import {feedPath} from '@ebonylead/upstreams/mesh-listener.js';
import {Agent} from 'undici';
import {type RowCursor} from './row-cache.js';

/** What a receiver has already when a feed is opened. */
export type FeedPosition = {
	/** Versions of the rules that it keeps. */
	readonly versions: readonly number[];

	/** Position up to which it knows the rows of the members; undefined before it read them. */
	readonly rows: RowCursor | undefined;
};

/** Formats a position as parameters of a request. */
export function formatPosition({versions, rows}: FeedPosition): string {
	return `versions=${versions.join(',')}${rows === undefined ? '' : `&rows=${rows.era}.${rows.revision}`}`;
}

/** Parses the parameters of a request; what is missing or unreadable is sent in full. */
export function parsePosition(parameters: URLSearchParams): FeedPosition {
	const versions = (parameters.get('versions') ?? '').split(',').map(Number).filter(version => version > 0);
	const groups = /^(?<era>\d+)\.(?<revision>\d+)$/v.exec(parameters.get('rows') ?? '')?.groups;
	return {versions, rows: groups && {era: Number(groups.era), revision: Number(groups.revision)}};
}

/** Opens feeds of other nodes. */
export type FeedTransport = {
	/**
	 * Opens the feed of a node.
	 *
	 * @returns The bytes of the feed's lines, until the feed ends or the signal is aborted.
	 */
	open(origin: string, position: FeedPosition, signal: AbortSignal): Promise<AsyncIterable<Uint8Array>>;

	/** Closes all connections. */
	close(): Promise<void>;
};

const connectTimeoutMs = 500;
const statusOk = 200;

/** Opens feeds over HTTP. Its caller ends a feed that is silent for too long. */
export class HttpFeedTransport implements FeedTransport {
	readonly #agent = new Agent({connect: {timeout: connectTimeoutMs}, headersTimeout: 0, bodyTimeout: 0});

	async open(origin: string, position: FeedPosition, signal: AbortSignal): Promise<AsyncIterable<Uint8Array>> {
		const response = await this.#agent.request({
			origin, method: 'GET', path: `${feedPath}?${formatPosition(position)}`, signal,
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
