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
import {type Logger} from '@ebonylead/base/logs.js';
import {type CallerLimits} from '@ebonylead/rules/rule-source.js';
import {type AppliedVersion} from '@ebonylead/rules/applied-version.js';
import {listenOn} from '@ebonylead/base/listening.js';
import {outcomes, type Refusal} from '@ebonylead/upstreams/upstreams.js';
import {type AttemptAges} from './attempt-ages.js';
import {type BurnCounters} from './burn-counters.js';
import {type CallerProtocol} from './caller-protocol.js';
import {type CallMetrics} from './call-metrics.js';
import {Call} from './call.js';
import {type MeshPools} from './mesh-pools.js';
import {type RequestIds} from './request-ids.js';
import {type RetryBudget} from './retry-budget.js';
import {type TargetChooser} from './target-chooser.js';

/** The dependencies of `CallerListener`. */
export type CallerDependencies = {
	readonly applied: AppliedVersion;
	readonly chooser: TargetChooser;
	readonly pools: MeshPools;
	readonly protocol: CallerProtocol;
	readonly ages: AttemptAges;
	readonly budget: RetryBudget;
	readonly metrics: CallMetrics;
	readonly clock: Clock;
	readonly random: Random;
	readonly requestIds: RequestIds;
	readonly burn: BurnCounters;
	readonly log: Logger;
	readonly decisions: DecisionLog;

	/** Origin at which this node receives calls from other nodes; undefined if nodes don't exchange versions on calls. */
	readonly origin?: string;

	/** Called with the number of the active version at a node that responded. */
	readonly onVersion?: (version: number, origin: string) => void;

	/** Returns whether this node may serve calls: it knows the newest version and its process was not suspended. */
	readonly isReady: () => boolean;
};

const keepAliveTimeoutMs = 30_000;
const maxHeaderBytes = 16 * 1024;
const statusTooLarge = 413;
const statusUnavailable = 503;
const statusNotImplemented = 501;
const notReadyRetryAfterMs = 500;

/** Accepts calls on one port and runs them. */
export class CallerListener {
	readonly #dependencies: CallerDependencies;
	readonly #server: Server;
	readonly #calls = new Set<Call>();
	#openCallCount = 0;
	#limits: CallerLimits | undefined;
	#isClosing = false;
	#isRefusing = false;

	constructor(dependencies: CallerDependencies) {
		this.#dependencies = dependencies;
		this.#server = createServer({keepAliveTimeout: keepAliveTimeoutMs, maxHeaderSize: maxHeaderBytes}, (request, response) => {
			void this.#handleRequest(request, response);
		});
	}

	/** The port that the server listens on. */
	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	/** Number of calls in flight. */
	get openCount(): number {
		return this.#openCallCount;
	}

	/**
	 * Starts to listen.
	 *
	 * @throws StepError when the port can't be used.
	 */
	async listen(host: string, port: number): Promise<void> {
		await listenOn(this.#server, host, port, 'listen for callers');
	}

	/** Applies limits to callers' connections, including those that are open. */
	setLimits(limits: CallerLimits): void {
		this.#limits = limits;
		this.#server.keepAliveTimeout = limits.idleTime;
		this.#server.headersTimeout = limits.headerTime;
	}

	/** Continues to accept calls, but closes each connection after its next response. */
	startClosing(): void {
		this.#isClosing = true;
	}

	/** Refuses new calls; calls in flight continue. */
	refuseNew(): void {
		this.#isRefusing = true;
	}

	/** Cancels all calls in flight with a response of this node, so that callers don't just see a closed connection. */
	cancelOpen(reason: string): void {
		for (const call of this.#calls) {
			call.cancel(new Error(reason));
		}
	}

	/** Accepts no new connections, and closes the idle ones. */
	close(): void {
		this.#server.close();
		this.#server.closeIdleConnections();
	}

	/** Closes all remaining connections, with calls that are in flight. */
	cut(): void {
		this.#server.closeAllConnections();
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		this.#openCallCount++;
		if (this.#isClosing) {
			response.shouldKeepAlive = false;
		}

		try {
			const refusal = this.#findRefusal(request);
			if (refusal) {
				this.#dependencies.protocol.sendRefusal(response, refusal);
				request.resume();
				return;
			}

			await this.#runCall(new Call(this.#dependencies, request, response));
		} finally {
			this.#openCallCount--;
		}
	}

	async #runCall(call: Call): Promise<void> {
		this.#calls.add(call);
		try {
			await call.run();
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
