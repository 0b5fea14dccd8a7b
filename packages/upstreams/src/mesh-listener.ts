/** HTTP listener of the sidecar: receives calls from entry nodes for the local upstream. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {gzipSync} from 'node:zlib';
import {readBoundedText} from '@ebonylead/base/bounded-text.js';
import {describeError} from '@ebonylead/base/errors.js';
import {listenOn} from '@ebonylead/base/listening.js';
import {
	attemptProbePath, attemptProbeService, parseProbePath, type AttemptProbeResponse,
} from './attempt-probe.js';
import {AttemptRegistry} from './attempt-registry.js';
import {MeshCall} from './mesh-call.js';
import {OpenConnections} from './open-connections.js';
import {type Quarantine} from './quarantine.js';
import {readHeader, readNonNegativeInteger} from './request-headers.js';
import {type SidecarDependencies} from './sidecar-call.js';
import {type TransitDelays} from './transit-delays.js';
import {meshHeaders} from './upstreams.js';

/** Dependencies of `MeshListener`, which also passes them to each `MeshCall`. */
export type MeshListenerDependencies = SidecarDependencies & {
	readonly quarantine: Quarantine;

	/** Measures how long the attempts of each entry node were on their way. */
	readonly transitDelays: TransitDelays;

	/** Returns the state of this node in JSON, as it is sent to another node; undefined where state requests are not served. */
	readonly getState?: (query: StateQuery) => string;

	/** Sends the versions and rows of this node to the output until it closes, from the position in the parameters; undefined where feeds are not served. */
	readonly openFeed?: (output: ServerResponse, parameters: URLSearchParams) => void;

	/** Merges the crashes that another node knows of, and returns those of this node; undefined where nodes don't exchange them so. */
	readonly exchangeCrashes?: (text: string) => string;

	/** Handle further messages of other nodes, by path: each builds the response from the body, and throws if that is none. */
	readonly messageHandlers?: ReadonlyMap<string, (text: string) => string>;

	/** Called with the digest of the crashes that the sender of a call knows of, and the origin of that node. */
	readonly onCrashDigest?: (digest: string, origin: string) => void;

	/** Returns the active version of the rules on this node. */
	readonly getVersion?: () => number;

	/** Called with the active version of the node that sent a call, and the origin of that node. */
	readonly onVersion?: (version: number, origin: string) => void;
};

/** Parameters of a state request between nodes. */
export type StateQuery = {
	/** Versions that the requesting node keeps; only a later one is returned. */
	readonly versions: readonly number[];
	readonly includeMembers: boolean;
};

/** Path of state requests between nodes. */
export const statePath = '/x-ebonylead/state';

/** Path of exchanges of known crashes between nodes. */
export const crashPath = '/x-ebonylead/crashes';

/** Maximum size of what a node knows of crashes in bytes. */
export const maxCrashBytes = 256 * 1024;

/** Maximum size of a further message in bytes. */
const maxMessageBytes = 256 * 1024;

/** Path of feeds between nodes. */
export const feedPath = '/x-ebonylead/feed';

/** Idle connections stay open longer here than at the entry nodes, so that the entry node is the one that closes them. */
const keepAliveTimeoutMs = 75_000;
const maxHeaderBytes = 32 * 1024;
const statusOk = 200;
const statusBadRequest = 400;

/** Size from which on a state is compressed. */
const minCompressedBytes = 1024;

/** The lowest level, as processor time is scarcer than the little that the usual level saves. */
const compressionLevel = 1;

/** Admits calls to the local upstream and forwards them. */
export class MeshListener {
	readonly #dependencies: MeshListenerDependencies;
	readonly #server: Server;
	readonly #openConnections: OpenConnections;
	readonly #attempts: AttemptRegistry;
	#inFlightCount = 0;

	constructor(dependencies: MeshListenerDependencies) {
		this.#dependencies = dependencies;
		this.#attempts = new AttemptRegistry(dependencies.clock);
		this.#server = createServer({keepAliveTimeout: keepAliveTimeoutMs, maxHeaderSize: maxHeaderBytes, requestTimeout: 0}, (request, response) => {
			this.#handleRequest(request, response).catch((error: unknown) => {
				dependencies.log.error({stack: (error as Error).stack}, 'A request of another node failed unexpectedly');
				response.destroy();
			});
		});
		this.#openConnections = new OpenConnections(this.#server);
	}

	/** Port that the server listens on. */
	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	/** Whether bytes of responses are still to be sent. */
	get hasUnsentBytes(): boolean {
		return this.#openConnections.hasUnsentBytes;
	}

	/** Number of calls in flight. */
	get inFlightCount(): number {
		return this.#inFlightCount;
	}

	/**
	 * Starts to listen.
	 *
	 * @throws StepError if the server can't listen on the port.
	 */
	async listen(host: string, port: number): Promise<void> {
		await listenOn(this.#server, host, port, 'listen for calls of other nodes');
		this.#attempts.start();
	}

	/** Stops accepting connections, and closes idle ones. */
	close(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	/** Closes all connections, also those with calls in flight. */
	closeAllConnections(): void {
		this.#server.closeAllConnections();
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const service = readHeader(request, meshHeaders.service);
		// A call has a service, also one whose path is the same.
		if (service === undefined && this.#serveState(request, response)) {
			return;
		}

		if (service === undefined && request.url === crashPath && this.#dependencies.exchangeCrashes) {
			const known = this.#dependencies.exchangeCrashes(await readBoundedText(request, maxCrashBytes, 'another node'));
			sendText(response, statusOk, known);
			return;
		}

		const handleMessage = service === undefined ? this.#dependencies.messageHandlers?.get(request.url ?? '') : undefined;
		if (handleMessage) {
			await this.#exchangeMessage(request, response, handleMessage);
			return;
		}

		if (service === attemptProbeService && request.url?.startsWith(attemptProbePath)) {
			this.#handleAttemptProbe(request.url, response);
			return;
		}

		this.#syncWithEntryNode(request, response);
		this.#inFlightCount++;
		try {
			await new MeshCall(this.#dependencies, this.#attempts, request, response).run();
		} catch (error) {
			this.#dependencies.log.error({stack: (error as Error).stack}, 'A call of another node failed unexpectedly');
			// The entry node can't be told whether the call ran.
			response.destroy();
		} finally {
			this.#inFlightCount--;
		}
	}

	/** Answers a request for the state or the feed of this node; returns false for any other request. */
	#serveState(request: IncomingMessage, response: ServerResponse): boolean {
		const {getState, openFeed} = this.#dependencies;
		const isState = request.url?.startsWith(statePath) && getState !== undefined;
		const isFeed = request.url?.startsWith(feedPath) && openFeed !== undefined;
		if (!isState && !isFeed) {
			return false;
		}

		const query = new URL(request.url!, 'http://node').searchParams;
		if (isState) {
			const versions = (query.get('versions') ?? '').split(',').map(Number).filter(version => version > 0);
			sendState(request, response, getState({versions, includeMembers: query.has('members')}));
			return true;
		}

		response.writeHead(statusOk, {'content-type': 'application/x-ndjson'});
		openFeed!(response, query);
		return true;
	}

	async #exchangeMessage(request: IncomingMessage, response: ServerResponse, handleMessage: (text: string) => string): Promise<void> {
		try {
			sendText(response, statusOk, handleMessage(await readBoundedText(request, maxMessageBytes, 'another node')));
		} catch (error) {
			this.#dependencies.decisionLog.record({path: request.url, reason: describeError(error)}, 'Ignored a message of another node');
			sendJson(response, statusBadRequest, {});
		}
	}

	#handleAttemptProbe(url: string, response: ServerResponse): void {
		const ids = parseProbePath(url);
		if (ids === undefined) {
			sendJson(response, statusBadRequest, {});
			return;
		}

		const states: AttemptProbeResponse = {knownFor: this.#attempts.knownFor, states: ids.map(id => this.#attempts.probe(id))};
		sendJson(response, statusOk, states);
	}

	/** Exchanges the active versions and the digests of known crashes with the entry node on each call, so that a node that missed one learns of it from any other. */
	#syncWithEntryNode(request: IncomingMessage, response: ServerResponse): void {
		const {getVersion, onVersion, onCrashDigest, quarantine} = this.#dependencies;
		const version = readNonNegativeInteger(request, meshHeaders.version);
		const origin = readHeader(request, meshHeaders.origin);
		if (version !== undefined && origin !== undefined) {
			onVersion?.(version, origin);
		}

		if (origin !== undefined) {
			onCrashDigest?.(readHeader(request, meshHeaders.crashDigest) ?? '', origin);
		}

		const {digest} = quarantine;
		if (digest !== '') {
			response.setHeader(meshHeaders.crashDigest, digest);
		}

		if (getVersion) {
			response.setHeader(meshHeaders.version, String(getVersion()));
		}
	}
}

function sendState(request: IncomingMessage, response: ServerResponse, state: string): void {
	const plain = Buffer.from(state);
	const isCompressed = plain.length >= minCompressedBytes && request.headers['accept-encoding'] === 'gzip';
	const body = isCompressed ? gzipSync(plain, {level: compressionLevel}) : plain;
	response.writeHead(statusOk, {'content-type': 'application/json', 'content-length': body.length, ...(isCompressed && {'content-encoding': 'gzip'})}).end(body);
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
	sendText(response, status, JSON.stringify(value));
}

function sendText(response: ServerResponse, status: number, text: string): void {
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)}).end(text);
}
