/** Runs one call on its entry node, from its arrival to its end, with all its attempts. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {describeError} from '@ebonylead/base/errors.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {type Route} from '@ebonylead/rules/route-table.js';
import {type ActiveSnapshot} from '@ebonylead/rules/active-version.js';
import {Cancellation} from '@ebonylead/upstreams/cancellation.js';
import {
	copyRequestHeaders, forwardRequest, ProgressTimeoutError, type ResponseHeaders, type ForwardResult,
} from '@ebonylead/upstreams/forward.js';
import {readBody, type RequestBody} from '@ebonylead/upstreams/request-body.js';
import {readPositiveInteger} from '@ebonylead/upstreams/request-headers.js';
import {meshHeaders, outcomes, type Refusal} from '@ebonylead/upstreams/upstreams.js';
import {chooseService} from './service-split.js';
import {readRefusal} from './refusal-reader.js';
import {setAttemptHeaders} from './attempt-headers.js';
import {callResults, type CallResult} from './call-metrics.js';
import {type CallerListenerDependencies} from './callers.js';
import {type RequestTarget} from './request-target.js';

/** Maximum number of upstreams that may run one call, where its rule sets no `maxTries`. */
const defaultMaxRuns = 3;

/** Maximum number of attempts for one call, refused ones included: a refusal costs a node little. */
const maxAttempts = 3;

/** Minimum remaining time in milliseconds for a retry: two hops and the fastest responses take about that long. */
const minAttemptTimeMs = 10;

/** Number of crashed upstreams after which a call that was in flight there is not retried. */
const maxCrashes = 2;

/** Bounds of the progress timeout, the longest time without a byte from the sidecar. The sidecar sends an interim response every 100 ms until the final one starts. */
const maxProgressTimeoutMs = 800;
const minProgressTimeoutMs = 300;
/** Progress timeout as a share of the call's deadline, before the bounds apply. */
const progressTimeoutShare = 0.5;

/** Time in milliseconds without a connection after which a node counts as unreachable, even if the call was cancelled in the meantime. */
const unreachableAfterMs = 150;
const defaultRetryAfterMs = 200;

const statusBadRequest = 400;
const statusNotFound = 404;
const firstServerError = 500;
const statusBadGateway = 502;
const statusUnavailable = 503;
const statusTimeout = 504;
const retryableStatuses: ReadonlySet<number> = new Set([500, 502, 503, 504]);

/** What follows an attempt: the call is done, may be retried, or ends with a refusal. */
type NextStep = 'done' | 'retry' | Refusal;

/** Runs one call with the version that was active when it arrived, whatever is applied later. */
export class Call {
	readonly #dependencies: CallerListenerDependencies;
	readonly #request: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #activeSnapshot: ActiveSnapshot;
	readonly #startedAt: number;
	readonly #cancellation = new Cancellation();

	/** Identifiers of the members that this call was sent to. */
	readonly #attemptedIds = new Set<string>();
	#headers: Record<string, string | string[]> = {};

	/** Time budget of the call in milliseconds, counted from its arrival. */
	#deadline = 0;

	/** Estimated time in milliseconds from the caller's first attempt at this call to its arrival here. */
	#age = 0;
	#service = '';
	#result: CallResult = callResults.notRun;
	#mayHaveRun = false;

	/** Number of upstreams that may have run this call. */
	#possibleRuns = 0;

	/** One line for each attempt, for the log. */
	readonly #attemptSummaries: string[] = [];
	#status = 0;
	#reason = '';

	/** Number of upstreams that received this call, including those that refused it. */
	#reachedUpstreamCount = 0;

	/** Number of upstreams that crashed while this call was in flight there. */
	#crashes = 0;
	#lastRefusal: Refusal = {status: statusUnavailable, outcome: outcomes.notRun, reason: 'no try was made'};

	constructor(dependencies: CallerListenerDependencies, request: IncomingMessage, response: ServerResponse) {
		this.#dependencies = dependencies;
		this.#request = request;
		this.#response = response;
		this.#activeSnapshot = dependencies.activeVersion.current;
		this.#startedAt = dependencies.clock.now();
	}

	/** Runs the call to its end. */
	async run(): Promise<void> {
		const target = this.#dependencies.protocol.readTarget(this.#request);
		await target.caseOf({
			Left: async reason => {
				this.#refuse({status: statusBadRequest, outcome: outcomes.notRun, reason});
			},
			Right: async found => this.#runForTarget(found),
		});
	}

	/** Cancels the call; this node responds in place of an upstream. */
	cancel(reason: Error): void {
		this.#cancellation.cancel(reason);
	}

	async #runForTarget(target: RequestTarget): Promise<void> {
		const route = this.#activeSnapshot.routeTable.findRoute({method: this.#request.method ?? 'GET', headers: this.#request.headers, ...target});
		if (route === undefined) {
			this.#refuse({status: statusNotFound, outcome: outcomes.notRun, reason: `no rule of version ${this.#version} matches ${this.#request.method} ${target.host}${target.path}`});
			this.#recordUnsuccessfulCall(undefined);
			return;
		}

		this.#service = chooseService(route, this.#dependencies.random);
		const callerDeadline = this.#dependencies.protocol.readDeadline(this.#request) ?? route.rule.deadline;
		this.#age = this.#dependencies.callAges.estimate(route.key, callerDeadline);
		this.#deadline = Math.min(route.rule.deadline, callerDeadline);
		const timer = setTimeout(() => {
			this.#cancellation.cancel(new Error('the deadline passed'));
		}, this.#deadline);
		this.#response.on('close', this.#handleCallerClose);
		try {
			await this.#runAttempts(route);
		} finally {
			clearTimeout(timer);
			this.#dependencies.metrics.recordCall(this.#service, this.#result, this.#dependencies.clock.now() - this.#startedAt);
			this.#recordBurn(route);
			this.#recordUnsuccessfulCall(route);
		}
	}

	/** Logs the call unless it ended with an upstream's response with a status below 500. */
	#recordUnsuccessfulCall(route: Route | undefined): void {
		const {decisionLog, protocol, clock} = this.#dependencies;
		if (this.#result === callResults.answered && this.#response.statusCode < firstServerError) {
			return;
		}

		decisionLog.record({
			id: protocol.readRequestId(this.#request),
			route: route?.key,
			age: Math.round(this.#age),
			version: this.#version,
			service: this.#service,
			result: this.#result,
			status: this.#status === 0 ? this.#response.statusCode : this.#status,
			reason: this.#reason,
			asked: this.#attemptSummaries,
			deadline: Math.round(this.#deadline),
			duration: Math.round(clock.now() - this.#startedAt),
		}, 'Ended a call');
	}

	async #runAttempts(route: Route): Promise<void> {
		const body = await this.#readBody();
		if (this.#cancellation.isCancelled) {
			this.#refuse({status: statusTimeout, outcome: outcomes.notRun, reason: 'the body did not come whole before the deadline'});
			return;
		}

		this.#headers = copyRequestHeaders(this.#request.headers);
		this.#headers[meshHeaders.requestId] ??= this.#dependencies.protocol.readRequestId(this.#request) ?? this.#dependencies.requestIds.create();
		this.#headers[meshHeaders.caller] = this.#dependencies.protocol.readCaller(this.#request);
		this.#dependencies.retryBudget.recordCall(this.#service);
		const inheritedAttempt = readPositiveInteger(this.#request, meshHeaders.attempt) ?? 1;
		for (let attemptCount = 1; ; attemptCount++) {
			const step = await this.#runAttempt(route, body, inheritedAttempt + attemptCount - 1);
			if (step === 'done') {
				return;
			}

			if (step === 'retry' && body !== this.#request && this.#canRetry(route, attemptCount, inheritedAttempt)) {
				this.#dependencies.metrics.recordRetry(this.#service);
				continue;
			}

			this.#refuse(step === 'retry' ? this.#lastRefusal : step);
			return;
		}
	}

	/**
	 * Returns whether the call may be sent to another node.
	 *
	 * Only a call that an upstream received draws on the retry budget, because a refusal by a node puts no load on an upstream. A call that was made on
	 * behalf of a retry is not retried after it reached an upstream, so that retries don't multiply down a chain of services.
	 */
	#canRetry(route: Route, attemptCount: number, inheritedAttempt: number): boolean {
		if (this.#cancellation.isCancelled || this.#timeLeft < minAttemptTimeMs || attemptCount >= maxAttempts) {
			return false;
		}

		if (this.#possibleRuns > 0 && !(route.rule.idempotent && this.#possibleRuns < (route.rule.maxTries ?? defaultMaxRuns))) {
			return false;
		}

		return this.#reachedUpstreamCount === 0 || (inheritedAttempt === 1 && this.#dependencies.retryBudget.admitRetry(this.#service));
	}

	get #timeLeft(): number {
		return this.#deadline - (this.#dependencies.clock.now() - this.#startedAt);
	}

	async #runAttempt(route: Route, body: RequestBody, attempt: number): Promise<NextStep> {
		const {chooser, pools} = this.#dependencies;
		const member = chooser.choose(this.#service, route, this.#attemptedIds);
		if (member === undefined) {
			return chooser.findCapacityRefusal(this.#service, route) ?? (this.#attemptedIds.size > 0 ? this.#lastRefusal : this.#buildNoUpstreamRefusal());
		}

		this.#attemptedIds.add(member.id);
		chooser.recordStart(member);
		const startedAt = this.#dependencies.clock.now();
		const origin = `http://${member.host}:${member.meshPort}`;
		const result = await forwardRequest({
			dispatcher: pools.getPool(origin),
			origin,
			method: this.#request.method ?? 'GET',
			path: this.#request.url ?? '/',
			headers: this.#buildHeaders(route, attempt),
			body,
			response: this.#response,
			cancellation: this.#cancellation,
			progressTimeout: Math.max(minProgressTimeoutMs, Math.min(maxProgressTimeoutMs, this.#deadline * progressTimeoutShare)),
			isForwardable: (status, headers) => this.#isForwardable(route, status, headers),
			buildExtraHeaders: () => ({[meshHeaders.version]: String(this.#version)}),
			removeMeshHeaders: false,
		});
		this.#recordAttemptEnd(member, origin, startedAt, result);
		const detail = 'error' in result ? describeError(result.error) : String('headers' in result ? result.headers[meshHeaders.reason] ?? result.status : result.reason);
		this.#attemptSummaries.push(`${member.id} r${member.incarnation} ${result.kind} after ${Math.round(this.#dependencies.clock.now() - startedAt)} ms: ${detail}`);
		return this.#handleResult(route, member, result);
	}

	#buildNoUpstreamRefusal(): Refusal {
		return {
			status: statusUnavailable, outcome: outcomes.notRun, reason: `no upstream of "${this.#service}" is ready`, retryAfter: defaultRetryAfterMs,
		};
	}

	/** Returns whether a response is forwarded to the caller; refusals by sidecars and failures that may be retried are not. */
	#isForwardable(route: Route, status: number, headers: ResponseHeaders): boolean {
		if (headers[meshHeaders.outcome] !== undefined) {
			return false;
		}

		const isRetryPossible = this.#possibleRuns + 1 < (route.rule.maxTries ?? defaultMaxRuns) && this.#timeLeft > minAttemptTimeMs;
		return !(route.rule.idempotent && retryableStatuses.has(status) && isRetryPossible);
	}

	#handleResult(route: Route, member: Member, result: ForwardResult): NextStep {
		switch (result.kind) {
			case 'answered': {
				this.#result = callResults.answered;
				return 'done';
			}

			case 'cut': {
				this.#result = callResults.cut;
				this.#dependencies.log.warn(`Response from "${member.id}" was cut off: ${describeError(result.error)}`);
				return 'done';
			}

			case 'not-run': {
				this.#lastRefusal = {
					status: statusUnavailable, outcome: outcomes.notRun, reason: result.reason, hasReachedUpstream: true,
				};
				this.#updateAttemptCounts(false);
				return 'retry';
			}

			case 'unsent': {
				this.#lastRefusal = {
					status: statusUnavailable, outcome: outcomes.notRun, reason: `"${member.id}" can not be reached: ${describeError(result.error)}`, retryAfter: defaultRetryAfterMs,
				};
				return 'retry';
			}

			case 'rejected': {
				this.#lastRefusal = readRefusal(result.status, result.headers);
				this.#updateAttemptCounts(this.#lastRefusal.outcome === outcomes.unknown);
				// An upstream without capacity for a repeated call may have some for a new one.
				if (this.#lastRefusal.isUpstreamFull && this.#age === 0) {
					this.#dependencies.chooser.recordCapacityRefusal(member, route, this.#lastRefusal);
				}

				this.#crashes = Math.max(this.#crashes, Number(result.headers[meshHeaders.suspect] ?? 0));
				if (this.#crashes >= maxCrashes) {
					return this.#lastRefusal;
				}

				return this.#lastRefusal.outcome === outcomes.notRun || route.rule.idempotent ? 'retry' : this.#lastRefusal;
			}

			case 'unanswered': {
				this.#updateAttemptCounts(true);
				const status = this.#cancellation.isCancelled ? statusTimeout : statusBadGateway;
				this.#lastRefusal = {status, outcome: outcomes.unknown, reason: `"${member.id}" did not answer: ${describeError(result.error)}`};
				return route.rule.idempotent ? 'retry' : this.#lastRefusal;
			}
		}
	}

	/** Updates the counts of this call after an attempt that reached a node; `mayHaveRun` says whether an upstream may have run the call. */
	#updateAttemptCounts(mayHaveRun: boolean): void {
		this.#possibleRuns += mayHaveRun ? 1 : 0;
		this.#reachedUpstreamCount += mayHaveRun || this.#lastRefusal.hasReachedUpstream ? 1 : 0;
		this.#mayHaveRun ||= mayHaveRun;
	}

	#recordAttemptEnd(member: Member, origin: string, startedAt: number, result: ForwardResult): void {
		const {chooser, pools} = this.#dependencies;
		const isFailure = result.kind === 'unsent' || result.kind === 'unanswered' || result.kind === 'cut';
		const load = 'headers' in result ? Number(result.headers[meshHeaders.load]) : undefined;
		chooser.recordEnd(member, isFailure && !this.#cancellation.isCancelled, load);
		const isUnreachable = !this.#cancellation.isCancelled || this.#dependencies.clock.now() - startedAt > unreachableAfterMs;
		if (result.kind === 'unsent' && isUnreachable) {
			chooser.recordUnreachable(member);
		}

		if ('headers' in result) {
			pools.recordResponse(origin);
			this.#dependencies.onVersion?.(Number(result.headers[meshHeaders.version] ?? 0), origin);
		}

		const isTimeout = result.kind === 'unanswered' && (result.error instanceof ProgressTimeoutError || this.#cancellation.isCancelled);
		if (isTimeout && this.#result !== callResults.callerLeft) {
			pools.closeIfUnresponsive(origin, startedAt);
		}
	}

	#buildHeaders(route: Route, attempt: number): Record<string, string | string[]> {
		const {rule} = route;
		const elapsedMs = this.#age + this.#dependencies.clock.now() - this.#startedAt;
		setAttemptHeaders(this.#headers, {
			route,
			attempt,
			service: this.#service,
			crashes: this.#crashes,
			timeLeft: this.#timeLeft,
			objectiveLeft: rule.objective === undefined ? undefined : rule.objective - elapsedMs,
			origin: this.#dependencies.origin,
			version: this.#dependencies.activeVersion.version,
		});
		return this.#headers;
	}

	async #readBody(): Promise<RequestBody> {
		try {
			return await readBody(this.#request);
		} catch (error) {
			this.#cancellation.cancel(error as Error);
			return undefined;
		}
	}

	/** Counts the call for the error budget of its route, unless the caller left: that shows nothing about the service. */
	#recordBurn(route: Route): void {
		if (this.#result !== callResults.callerLeft) {
			const isGood = this.#result === callResults.answered && this.#response.statusCode < firstServerError;
			this.#dependencies.burnCounters.record(route.key, isGood);
		}
	}

	get #version(): number {
		return this.#activeSnapshot.encoded.snapshot.version;
	}

	/**
	 * Responds in place of an upstream. The outcome is `not-run` only if no attempt may have run. The retry delay is chosen at random from one to two times
	 * its base, so that callers that were refused together don't retry at the same time.
	 */
	#refuse(refusal: Refusal): void {
		const outcome = this.#mayHaveRun ? outcomes.unknown : refusal.outcome;
		this.#result = outcome === outcomes.notRun ? callResults.notRun : callResults.unknown;
		const retryAfter = refusal.retryAfter && refusal.retryAfter * (1 + this.#dependencies.random.next());
		this.#status = refusal.status;
		this.#reason = refusal.reason;
		this.#dependencies.protocol.sendRefusal(this.#response, {...refusal, outcome, retryAfter});
		this.#request.resume();
	}

	readonly #handleCallerClose = () => {
		if (!this.#response.writableFinished) {
			this.#result = callResults.callerLeft;
			this.#cancellation.cancel(new Error('the caller closed its connection'));
		}
	};
}
