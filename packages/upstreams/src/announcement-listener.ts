/** HTTP listener for the announcements of the local upstream. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {json} from 'node:stream/consumers';
import {describeError} from '@ebonylead/base/errors.js';
import {listenOn} from '@ebonylead/base/listening.js';
import {type LocalUpstream} from './local-upstream.js';
import {type UpstreamAnnouncement} from './upstreams.js';

/** Maximum size of an announcement. */
const maxAnnouncementBytes = 4096;

/** Serves `POST /announce`. */
export class AnnouncementListener {
	readonly #localUpstream: LocalUpstream;
	readonly #server: Server;

	constructor(localUpstream: LocalUpstream) {
		this.#localUpstream = localUpstream;
		this.#server = createServer((request, response) => {
			void this.#handleRequest(request, response);
		});
	}

	/**
	 * Starts to listen.
	 *
	 * @throws StepError if the server can't listen on the port.
	 */
	async listen(host: string, port: number): Promise<void> {
		await listenOn(this.#server, host, port, 'listen for announcements');
	}

	/** Stops listening. */
	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.method !== 'POST' || request.url !== '/announce') {
			response.writeHead(404).end('Send announcements with POST to /announce.\n');
			return;
		}

		if (Number(request.headers['content-length'] ?? maxAnnouncementBytes + 1) > maxAnnouncementBytes) {
			response.writeHead(413).end(`Send an announcement of at most ${maxAnnouncementBytes} bytes, with its length.\n`);
			return;
		}

		try {
			const announcement = parseAnnouncement(await json(request));
			if (typeof announcement === 'string') {
				response.writeHead(400).end(`${announcement}\n`);
				return;
			}

			this.#localUpstream.applyAnnouncement(announcement);
			response.writeHead(204).end();
		} catch (error) {
			response.writeHead(400).end(`The announcement is not JSON: ${describeError(error)}\n`);
		}
	}
}

/** Returns the announcement, or a description of its first invalid field. */
function parseAnnouncement(value: unknown): UpstreamAnnouncement | string {
	if (typeof value !== 'object' || value === null) {
		return 'The announcement is no object.';
	}

	const {service, url, slots, connections, state} = value as Partial<UpstreamAnnouncement>;
	if (typeof service !== 'string' || !/^[a-z][a-z0-9\-]*$/v.test(service)) {
		return '"service" must be a service name such as "lot-desk".';
	}

	if (typeof url !== 'string' || !URL.canParse(url) || !url.startsWith('http://')) {
		return '"url" must be an address such as "http://127.0.0.1:9000".';
	}

	if (!isPositiveInteger(slots) || !isPositiveInteger(connections)) {
		return '"slots" and "connections" must be whole numbers from 1.';
	}

	if (state !== 'ready' && state !== 'draining') {
		return '"state" must be "ready" or "draining".';
	}

	return {
		service, url, slots, connections, state,
	};
}

function isPositiveInteger(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 1;
}
