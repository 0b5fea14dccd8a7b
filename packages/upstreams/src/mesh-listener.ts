/** The second hop: takes calls from other nodes for the upstream beside this node. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Clock} from '@ebonylead/base/base.js';
import {type DecisionLog} from '@ebonylead/base/decision-log.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {listenOn} from '@ebonylead/base/listening.js';
import {type CrashDetector} from './crash-detector.js';
import {MeshCall} from './mesh-call.js';
import {type Quarantine} from './quarantine.js';
import {type RefusalMetrics} from './refusal-metrics.js';
import {readHeader, readNonNegativeInteger} from './request-headers.js';
import {type LocalUpstream} from './local-upstream.js';
import {type UpstreamProtocol} from './upstream-protocol.js';
import {meshHeaders} from './upstreams.js';

/** What `MeshListener` needs. */
export type MeshListenerParts = {
	readonly localUpstream: LocalUpstream;
	readonly quarantine: Quarantine;
	readonly crashDetector: CrashDetector;
	readonly protocol: UpstreamProtocol;
	readonly clock: Clock;
	readonly log: Logger;
	readonly decisions: DecisionLog;

	/** Counts refusals; undefined where nobody reads them. */
	readonly refusalMetrics?: RefusalMetrics;

	/** Answers a node that asks for the state of this one. */
	readonly getState?: (query: StateQuery) => unknown;

	/** The version in force here. */
	readonly getVersion?: () => number;

	/** Called with the version that a call came with, and the origin of the node that sent it. */
	readonly onVersion?: (version: number, origin: string) => void;
};

/** What a node asks another for. */
export type StateQuery = {
	/** Version in force at the asker; only later rules are of use. */
	readonly version: number;
	readonly includeMembers: boolean;
};

/** Path of questions about the state of a node. */
export const statePath = '/x-ebonylead/state';

/** Idle connections of other nodes stay open longer than those nodes keep them. */
const keepAliveTimeoutMs = 75_000;
const maxHeaderBytes = 32 * 1024;

/** Admits calls to the upstream beside this node, and forwards them. */
export class MeshListener {
	readonly #parts: MeshListenerParts;
	readonly #server: Server;
	#openCalls = 0;

	constructor(parts: MeshListenerParts) {
		this.#parts = parts;
		this.#server = createServer({keepAliveTimeout: keepAliveTimeoutMs, maxHeaderSize: maxHeaderBytes, requestTimeout: 0}, (request, response) => {
			void this.#handleRequest(request, response);
		});
	}

	/** The port it listens on. */
	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	/** Count of calls that have not ended. */
	get openCount(): number {
		return this.#openCalls;
	}

	/**
	 * Starts to listen.
	 *
	 * @throws StepError when the port can't be used.
	 */
	async listen(host: string, port: number): Promise<void> {
		await listenOn(this.#server, host, port, 'listen for calls of other nodes');
	}

	/** Takes no new connections, and closes the idle ones. */
	close(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	/** Cuts what is still open. */
	closeAllConnections(): void {
		this.#server.closeAllConnections();
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url?.startsWith(statePath) && this.#parts.getState) {
			const query = new URL(request.url, 'http://node').searchParams;
			const body = JSON.stringify(this.#parts.getState({version: Number(query.get('version')), includeMembers: query.has('members')}));
			response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)}).end(body);
			return;
		}

		this.#syncVersions(request, response);
		this.#openCalls++;
		try {
			await new MeshCall(this.#parts, request, response).run();
		} finally {
			this.#openCalls--;
		}
	}

	/** Each call tells both ends the other's version, so that a node that hears nothing from the store still learns of later ones. */
	#syncVersions(request: IncomingMessage, response: ServerResponse): void {
		const {getVersion, onVersion} = this.#parts;
		const version = readNonNegativeInteger(request, meshHeaders.version);
		const origin = readHeader(request, meshHeaders.origin);
		if (version !== undefined && origin !== undefined) {
			onVersion?.(version, origin);
		}

		if (getVersion) {
			response.setHeader(meshHeaders.version, String(getVersion()));
		}
	}
}
