/** The gRPC server for requests of other nodes. */
import {
	Server, ServerCredentials, status, type handleUnaryCall, type sendUnaryData, type ServerUnaryCall,
} from '@grpc/grpc-js';
import {describeError, StepError} from '@ebonylead/base/errors.js';
import {buildCountedService, type TransportCounts} from './counted-service.js';
import {
	PeerService, type BeatRequest, type CensusRequest, type FetchRequest, type ProbeRequest, type PushRequest, type SyncRequest,
} from './generated/peers.js';
import {maxMessageBytes} from './grpc-transport.js';
import {type PeerHandlers} from './peers.js';

/** How long a server that is being closed waits for open requests, in milliseconds. */
const stopTimeoutMs = 1000;

type DeploymentRequest = {readonly deployment: string};

/** Serves the peer protocol on one port. */
export class GrpcServer {
	readonly #server = new Server({
		'grpc.max_receive_message_length': maxMessageBytes,
		'grpc.max_send_message_length': maxMessageBytes,
		'grpc.keepalive_time_ms': 10_000,
		'grpc.keepalive_timeout_ms': 3000,
	});

	readonly #deployment: string;

	constructor(deployment: string, handlers: PeerHandlers, counts: TransportCounts) {
		this.#deployment = deployment;
		this.#server.addService(buildCountedService(PeerService, counts), {
			push: this.#createHandler(async (request: PushRequest) => handlers.push(request)),
			beat: this.#createHandler(async (request: BeatRequest) => handlers.beat(request)),
			fetch: this.#createHandler(async (request: FetchRequest) => handlers.fetch(request)),
			sync: this.#createHandler(async (request: SyncRequest) => handlers.sync(request)),
			probe: this.#createHandler(async (request: ProbeRequest) => handlers.probe(request)),
			census: this.#createHandler(async (request: CensusRequest) => handlers.census(request)),
		});
	}

	/**
	 * Starts listening.
	 *
	 * @throws StepError when the port can't be used.
	 */
	async listen(host: string, port: number, credentials = ServerCredentials.createInsecure()): Promise<number> {
		return new Promise((resolve, reject) => {
			this.#server.bindAsync(`${host}:${port}`, credentials, (error, bound) => {
				if (error) {
					reject(new StepError('listen for peers', `${host}:${port}`, describeError(error), {cause: error}));
				} else {
					resolve(bound);
				}
			});
		});
	}

	/** Waits up to `stopTimeoutMs` for open requests to end, then closes all connections. */
	async close(): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = setTimeout(() => {
				this.#server.forceShutdown();
				resolve();
			}, stopTimeoutMs);
			this.#server.tryShutdown(() => {
				clearTimeout(timer);
				resolve();
			});
		});
	}

	/** Creates a handler that rejects requests of other deployments and turns errors into gRPC statuses. */
	#createHandler<Request extends DeploymentRequest, Reply>(handle: (request: Request) => Promise<Reply>): handleUnaryCall<Request, Reply> {
		return (call: ServerUnaryCall<Request, Reply>, callback: sendUnaryData<Reply>) => {
			if (call.request.deployment !== this.#deployment) {
				callback({code: status.PERMISSION_DENIED, details: `this node belongs to the deployment "${this.#deployment}", not to "${call.request.deployment}"`});
				return;
			}

			void this.#handleRequest(handle, call.request, callback);
		};
	}

	async #handleRequest<Request, Reply>(handle: (request: Request) => Promise<Reply>, request: Request, callback: sendUnaryData<Reply>): Promise<void> {
		try {
			callback(null, await handle(request));
		} catch (error) {
			callback({code: status.INTERNAL, details: describeError(error)});
		}
	}
}
