/**
 * The entry node of a call: accepts requests from callers, and sends each to the
 * sidecar of an upstream of the service that the rules name.
 */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Clock, type Random} from '@ebonylead/base/base.js';
import {type DecisionLog} from '@ebonylead/base/decision-log.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type CallerLimits} from '@ebonylead/rules/rule-source.js';
import {type ActiveVersion} from '@ebonylead/rules/active-version.js';
import {listenOn} from '@ebonylead/base/listening.js';
import {OpenConnections} from '@ebonylead/upstreams/open-connections.js';
import {type Quarantine} from '@ebonylead/upstreams/quarantine.js';
import {type SidecarDependencies} from '@ebonylead/upstreams/sidecar-call.js';
import {type SendClock} from '@ebonylead/upstreams/send-stamp.js';
import {outcomes, type Refusal} from '@ebonylead/upstreams/upstreams.js';
import {type AttemptProber} from './attempt-prober.js';
import {type CallAges} from './call-ages.js';
import {type BurnCounters} from './burn-counters.js';
import {type CallerProtocol} from './caller-protocol.js';
import {CallerBodies} from './caller-bodies.js';
import {type CallMetrics} from './call-metrics.js';
import {Call} from './call.js';
import {type MeshPools} from './mesh-pools.js';
import {type RequestIds} from './request-ids.js';
import {type RetryBudget} from './retry-budget.js';
import {type CallQuotas} from './call-quota.js';
import {type TargetChooser} from './target-chooser.js';

/** Dependencies of `CallerListener`, which also passes them to each `Call`. */
export type CallerListenerDependencies = {
	readonly activeVersion: ActiveVersion;
	readonly chooser: TargetChooser;
	readonly pools: MeshPools;
	readonly attemptProber: AttemptProber;
	readonly protocol: CallerProtocol;
	readonly callAges: CallAges;
	readonly retryBudget: RetryBudget;
	readonly metrics: CallMetrics;
	readonly clock: Clock;
	readonly random: Random;
	readonly requestIds: RequestIds;
	readonly sendClock: SendClock;

	/** The sidecar in this process and the id of its member; undefined if calls to the local upstream pass the mesh port like all others. */
	readonly localSidecar?: {readonly id: string; readonly sidecar: SidecarDependencies};

	/** Quotas of organisations; undefined if they are not enforced. */
	readonly quotas?: CallQuotas;

	/** Finds the organisation of a request whose quota it takes; undefined if it has none. */
	readonly findOrganisation?: (request: IncomingMessage) => string | undefined;

	/** Crashes of upstreams that this node knows of. */
	readonly quarantine: Quarantine;

	/** Called with the digest of the crashes that a node that responded knows of, and the origin of that node. */
	readonly onCrashDigest?: (digest: string, origin: string) => void;
	readonly burnCounters: BurnCounters;
	readonly log: Logger;
	readonly decisionLog: DecisionLog;

	/** Origin at which this node receives calls from other nodes; undefined if nodes don't exchange versions on calls. */
	readonly origin?: string;

	/** Called with the number of the active version at a node that responded. */
	readonly onVersion?: (version: number, origin: string) => void;

	/** Returns whether this node may serve calls: it knows the newest version and its process was not suspended. */
	readonly isReady: () => boolean;
};

/** Keep-alive timeout of callers' connections until `setLimits` is called. */
const keepAliveTimeoutMs = 30_000;

/** Interval between two searches for connections whose request header has taken too long; Node's default is 30 s. */
const headerCheckIntervalMs = 500;
const maxHeaderBytes = 16 * 1024;
const statusTooLarge = 413;
const statusUnavailable = 503;
const statusNotImplemented = 501;
const notReadyRetryAfterMs = 500;

/** Accepts calls on one port and runs them. */
export class CallerListener {
	readonly #dependencies: CallerListenerDependencies;
	readonly #server: Server;
	readonly #openConnections: OpenConnections;
	readonly #calls = new Set<Call>();
	readonly #bodies: CallerBodies;
	#inFlightCount = 0;
	#limits: CallerLimits | undefined;
	#isKeepAliveDisabled = false;
	#isRefusing = false;

	constructor(dependencies: CallerListenerDependencies) {
		this.#dependencies = dependencies;
		this.#bodies = new CallerBodies(dependencies.clock);
		const options = {keepAliveTimeout: keepAliveTimeoutMs, maxHeaderSize: maxHeaderBytes, connectionsCheckingInterval: headerCheckIntervalMs};
		this.#server = createServer(options, (request, response) => {
			void this.#handleRequest(request, response);
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
		await listenOn(this.#server, host, port, 'listen for callers');
	}

	/** Applies limits to callers' connections, including those that are open. */
	setLimits(limits: CallerLimits): void {
		this.#limits = limits;
		this.#bodies.setMaxBytes(limits.bodyBytes);
		this.#server.keepAliveTimeout = limits.idleTime;
		this.#server.headersTimeout = limits.headerTime;
	}

	/** Closes each connection after its next response; new calls are still accepted. */
	disableKeepAlive(): void {
		this.#isKeepAliveDisabled = true;
	}

	/** Refuses new calls; calls in flight continue. */
	refuseNewCalls(): void {
		this.#isRefusing = true;
	}

	/** Cancels all calls in flight; this node responds to each, so that callers don't just see a closed connection. */
	cancelCalls(reason: string): void {
		for (const call of this.#calls) {
			call.cancel(new Error(reason));
		}
	}

	/** Stops accepting connections, and closes idle ones. */
	close(): void {
		this.#dependencies.chooser.close();
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	/** Closes all connections, also those with calls in flight. */
	closeAllConnections(): void {
		this.#server.closeAllConnections();
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		this.#inFlightCount++;
		if (this.#isKeepAliveDisabled) {
			response.shouldKeepAlive = false;
		}

		try {
			const refusal = this.#findRefusal(request);
			if (refusal) {
				this.#dependencies.protocol.sendRefusal(response, refusal);
				request.resume();
				return;
			}

			await this.#runCall(new Call(this.#dependencies, this.#bodies, request, response));
		} finally {
			this.#inFlightCount--;
		}
	}

	async #runCall(call: Call): Promise<void> {
		this.#calls.add(call);
		try {
			await call.run();
		} catch (error) {
			this.#dependencies.log.error({stack: (error as Error).stack}, 'A call failed unexpectedly');
			call.handleError(describeError(error));
		} finally {
			this.#calls.delete(call);
		}
	}

	#findRefusal(request: IncomingMessage): Refusal | undefined {
		if (this.#isRefusing) {
			return {
				status: statusUnavailable, outcome: outcomes.notRun, reason: 'this node stops', retryAfter: notReadyRetryAfterMs,
			};
		}

		if (!this.#dependencies.isReady()) {
			return {
				status: statusUnavailable, outcome: outcomes.notRun, reason: 'this node does not know yet which rules are in force', retryAfter: notReadyRetryAfterMs,
			};
		}

		const length = Number(request.headers['content-length'] ?? 0);
		if (this.#limits && length > this.#limits.bodyBytes) {
			return {status: statusTooLarge, outcome: outcomes.notRun, reason: `the body has ${length} bytes; at most ${this.#limits.bodyBytes} are taken`};
		}

		if (request.headers.upgrade !== undefined) {
			return {status: statusNotImplemented, outcome: outcomes.notRun, reason: 'protocol upgrades are not supported; call without the header "upgrade"'};
		}

		return undefined;
	}
}
