/** The gRPC client for requests to other nodes, with one connection for each peer. */
import {
	credentials as grpcCredentials, makeGenericClientConstructor, Metadata, type ChannelCredentials, type ServiceError,
} from '@grpc/grpc-js';
import {StepError} from '@ebonylead/base/errors.js';
import {buildCountedService, type TransportCounts} from './counted-service.js';
import {
	PeerService, type PeerClient, type BeatReply, type BeatRequest, type CensusReply, type CensusRequest, type FetchReply, type FetchRequest,
	type ProbeReply, type ProbeRequest, type PushReply, type PushRequest, type SyncReply, type SyncRequest,
} from './generated/peers.js';
import {formatAddress, type PeerAddress, type PeerTransport} from './peers.js';

/** How long a connection may be idle before it is closed, in milliseconds. */
const idleTimeoutMs = 30_000;

/** Interval between two rounds that close idle connections, in milliseconds. */
const sweepIntervalMs = 10_000;

/** Maximum size of a message; a snapshot of the largest rule file fits. */
export const maxMessageBytes = 16 * 1024 * 1024;

type Connection = {
	readonly client: PeerClient;

	/** Time of the last response or failure, in milliseconds since the Unix epoch. */
	lastUsedAt: number;

	/** Number of requests that have not ended. */
	pending: number;

	/** Whether the connection is to be closed when its requests have ended. */
	isRemoved: boolean;
};

type PeerClientConstructor = new (...options: ConstructorParameters<typeof PeerClient>) => PeerClient;

type Callback<Reply> = (error: ServiceError | null, reply: Reply) => void;

/** Keeps a gRPC channel for each peer in use, and closes idle ones. */
export class GrpcTransport implements PeerTransport {
	/** The messages that this node sent and received, including those of its server. */
	readonly counts: TransportCounts = {messages: 0, bytes: 0};
	readonly #connections = new Map<string, Connection>();
	readonly #credentials: ChannelCredentials;
	readonly #Client = makeGenericClientConstructor(buildCountedService(PeerService, this.counts), 'Peer') as unknown as PeerClientConstructor;
	readonly #sweepTimer: NodeJS.Timeout;

	constructor(credentials: ChannelCredentials = grpcCredentials.createInsecure()) {
		this.#credentials = credentials;
		this.#sweepTimer = setInterval(() => {
			this.#closeIdle();
		}, sweepIntervalMs);
		this.#sweepTimer.unref();
	}

	async push(address: PeerAddress, request: PushRequest, timeout: number): Promise<PushReply> {
		return this.#sendRequest<PushReply>('push', address, timeout, (client, deadline, done) => client.push(request, new Metadata(), {deadline}, done));
	}

	async beat(address: PeerAddress, request: BeatRequest, timeout: number): Promise<BeatReply> {
		return this.#sendRequest<BeatReply>('beat', address, timeout, (client, deadline, done) => client.beat(request, new Metadata(), {deadline}, done));
	}

	async fetch(address: PeerAddress, request: FetchRequest, timeout: number): Promise<FetchReply> {
		return this.#sendRequest<FetchReply>('fetch', address, timeout, (client, deadline, done) => client.fetch(request, new Metadata(), {deadline}, done));
	}

	async sync(address: PeerAddress, request: SyncRequest, timeout: number): Promise<SyncReply> {
		return this.#sendRequest<SyncReply>('sync', address, timeout, (client, deadline, done) => client.sync(request, new Metadata(), {deadline}, done));
	}

	async probe(address: PeerAddress, request: ProbeRequest, timeout: number): Promise<ProbeReply> {
		return this.#sendRequest<ProbeReply>('probe', address, timeout, (client, deadline, done) => client.probe(request, new Metadata(), {deadline}, done));
	}

	async census(address: PeerAddress, request: CensusRequest, timeout: number): Promise<CensusReply> {
		return this.#sendRequest<CensusReply>('census', address, timeout, (client, deadline, done) => client.census(request, new Metadata(), {deadline}, done));
	}

	/** Closes all connections. */
	close(): void {
		clearInterval(this.#sweepTimer);
		for (const connection of this.#connections.values()) {
			connection.client.close();
		}

		this.#connections.clear();
	}

	async #sendRequest<Reply>(step: string, address: PeerAddress, timeout: number, start: (client: PeerClient, deadline: number, done: Callback<Reply>) => unknown): Promise<Reply> {
		const name = formatAddress(address);
		const connection = this.#getConnection(name);
		connection.pending++;
		try {
			return await new Promise<Reply>((resolve, reject) => {
				start(connection.client, Date.now() + timeout, (error, reply) => {
					if (error) {
						reject(new StepError(step, `node ${name}`, error.details || error.message, {cause: error}));
					} else {
						resolve(reply);
					}
				});
			});
		} catch (error) {
			this.#removeConnection(name, connection);
			throw error;
		} finally {
			connection.pending--;
			connection.lastUsedAt = Date.now();
			if (connection.isRemoved && connection.pending === 0) {
				connection.client.close();
			}
		}
	}

	#getConnection(name: string): Connection {
		const existing = this.#connections.get(name);
		if (existing) {
			return existing;
		}

		const client = new this.#Client(name, this.#credentials, {
			'grpc.max_receive_message_length': maxMessageBytes,
			'grpc.max_send_message_length': maxMessageBytes,
			// Without this, all clients of one address share a subchannel, which keeps unresponsive connections alive.
			'grpc.use_local_subchannel_pool': 1,
			'grpc.enable_retries': 0,
			'grpc.service_config_disable_resolution': 1,
			'grpc.initial_reconnect_backoff_ms': 100,
			'grpc.max_reconnect_backoff_ms': 2000,
		});
		const connection = {
			client, lastUsedAt: Date.now(), pending: 0, isRemoved: false,
		};
		this.#connections.set(name, connection);
		return connection;
	}

	/**
	 * Removes a connection after a failure, as it may be unresponsive. It is closed
	 * once its other requests have ended, as closing it now would fail them too.
	 */
	#removeConnection(name: string, connection: Connection): void {
		if (this.#connections.get(name) === connection) {
			this.#connections.delete(name);
		}

		connection.isRemoved = true;
	}

	#closeIdle(): void {
		const limit = Date.now() - idleTimeoutMs;
		for (const [name, connection] of this.#connections) {
			if (connection.pending === 0 && connection.lastUsedAt < limit) {
				this.#connections.delete(name);
				connection.client.close();
			}
		}
	}
}
