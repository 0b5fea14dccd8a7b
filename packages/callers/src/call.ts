/** Runs one call on its entry node, from its arrival to its end, with all its attempts. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {describeError} from '@ebonylead/base/errors.js';
import {type Route} from '@ebonylead/rules/route-table.js';
import {type ActiveSnapshot} from '@ebonylead/rules/active-version.js';
import {CallQuarantine} from '@ebonylead/upstreams/call-quarantine.js';
import {Cancellation} from '@ebonylead/upstreams/cancellation.js';
import {isClientConnected} from '@ebonylead/upstreams/client-presence.js';
import {copyRequestHeaders} from '@ebonylead/upstreams/forwarded-headers.js';
import {LargeBody} from '@ebonylead/upstreams/large-body.js';
import {discardBody, type RequestBody} from '@ebonylead/upstreams/request-body.js';
import {readPositiveInteger} from '@ebonylead/upstreams/request-headers.js';
import {isNestedCall} from '@ebonylead/upstreams/nested-calls.js';
import {meshHeaders, outcomes, type Refusal} from '@ebonylead/upstreams/upstreams.js';
import {chooseService} from './service-split.js';
import {
	buildBadRequestRefusal, buildFinalRefusal, buildNoRuleRefusal, buildNotRunRefusal, buildNoUpstreamRefusal, defaultRetryAfterMs,
} from './attempt-refusals.js';
import {type Attempt, type AttemptResult, type RejectedAttempt} from './attempt.js';
import {createAttempt} from './attempt-creation.js';
import {AttemptCounts, type AttemptEffect} from './attempt-counts.js';
import {AttemptsInFlight} from './attempts-in-flight.js';
import {callResults} from './call-metrics.js';
import {CallQuota} from './call-quota.js';
import {CallRecord} from './call-record.js';
import {CallRetries} from './call-retries.js';
import {buildBodyRefusal, findCancelStatus, type CallerBodies} from './caller-bodies.js';
import {type CallerListenerDependencies} from './callers.js';
import {isForwardableResponse} from './forwardable-response.js';
import {publicAccess, type Access} from './organisation-check.js';
import {type RequestTarget} from './request-target.js';

/** Number of crashed upstreams after which a call that may have been the cause is not retried. */
const maxCrashes = 2;

const statusBadGateway = 502;

/** What follows an attempt: the call is done, may be retried, or ends with a refusal. A refusal waits for the other attempts in flight. */
type NextStep = 'done' | 'retry' | Refusal;

const noEffect: AttemptEffect = {mayHaveRun: false, hasReachedUpstream: false};

/** Runs one call with the version that was active when it arrived, whatever is applied later. */
export class Call {
	readonly #dependencies: CallerListenerDependencies;
	readonly #request: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #activeSnapshot: ActiveSnapshot;
	readonly #startedAt: number;

	/** Name of the caller when the call arrived, the same at both hops of all attempts. */
	readonly #caller: string;
	readonly #cancellation = new Cancellation();

	/** Identifiers of the members that this call was sent to. */
	readonly #attemptedIds = new Set<string>();
	readonly #inFlight = new AttemptsInFlight();
	readonly #counts = new AttemptCounts();
	#headers: Record<string, string | string[]> = {};
	#access: Access = publicAccess;

	/** Time budget of the call in milliseconds, counted from its arrival. */
	#deadline = 0;

	/** Estimated time in milliseconds from the caller's first attempt at this call to its arrival here. */
	#age = 0;

	/** Whether an upstream has probably made the call while it processes another one. */
	#isNested = false;
	#service = '';
	readonly #record = new CallRecord();
	readonly #quarantine: CallQuarantine;
	readonly #quota: CallQuota;
	readonly #bodies: CallerBodies;
	#body: RequestBody;
	#lastRefusal = buildNotRunRefusal('no try was made');

	constructor(dependencies: CallerListenerDependencies, bodies: CallerBodies, request: IncomingMessage, response: ServerResponse) {
		this.#dependencies = dependencies;
		this.#bodies = bodies;
		this.#request = request;
		this.#response = response;
		this.#activeSnapshot = dependencies.activeVersion.current;
		this.#startedAt = dependencies.clock.now();
		this.#caller = dependencies.protocol.readCaller(request);
		this.#quota = new CallQuota(dependencies.quotas);
		this.#quarantine = new CallQuarantine(dependencies.quarantine, request, this.#caller, () => this.#body);
	}

	/** Runs the call to its end. */
	async run(): Promise<void> {
		const target = this.#dependencies.protocol.readTarget(this.#request);
		await target.caseOf({
			Left: async reason => {
				this.#refuse(buildBadRequestRefusal(reason));
			},
			Right: async found => this.#runForTarget(found),
		});
	}

	/** Ends the call after an unexpected error, with an unknown outcome: an attempt may be in flight. */
	handleError(reason: string): void {
		this.#cancellation.cancel(new Error(reason));
		if (this.#response.writableEnded) {
			return;
		}

		this.#refuse({status: statusBadGateway, outcome: outcomes.unknown, reason: `an unexpected error: ${reason}`});
	}

	/** Cancels the call; this node responds in place of an upstream. */
	cancel(reason: Error): void {
		this.#cancellation.cancel(reason);
	}

	async #runForTarget(target: RequestTarget): Promise<void> {
		const route = this.#activeSnapshot.routeTable.findRoute({method: this.#request.method ?? 'GET', headers: this.#request.headers, ...target});
		if (route === undefined) {
			this.#refuse(buildNoRuleRefusal(`no rule of version ${this.#version} matches ${this.#request.method} ${target.host}${target.path}`));
			this.#recordUnsuccessfulCall(undefined);
			return;
		}

		this.#access = this.#dependencies.organisationCheck.check(this.#activeSnapshot, route, this.#request);
		if (this.#access.refusal) {
			this.#refuse(this.#access.refusal);
			this.#recordUnsuccessfulCall(route);
			return;
		}

		this.#service = chooseService(route, this.#dependencies.random);
		const callerDeadline = this.#dependencies.protocol.readDeadline(this.#request) ?? route.rule.deadline;
		this.#age = this.#dependencies.callAges.estimate(route.key, callerDeadline);
		this.#deadline = Math.min(route.rule.deadline, callerDeadline);
		this.#isNested = this.#age === 0 && isNestedCall(this.#deadline, route.rule.objective ?? this.#deadline);
		const timer = setTimeout(() => {
			this.#cancellation.cancel(new Error('the deadline passed'));
		}, this.#timeLeft);
		this.#response.on('close', this.#handleCallerClose);
		try {
			await this.#runAttempts(route);
		} finally {
			clearTimeout(timer);
			discardBody(this.#request, this.#body);
			this.#dependencies.metrics.recordCall(this.#service, this.#record.result, this.#dependencies.clock.now() - this.#startedAt);
			// A caller that left shows nothing about the service.
			if (this.#record.result !== callResults.callerLeft) {
				this.#dependencies.burnCounters.record(route.key, this.#record.isSuccess(this.#response.statusCode));
			}

			this.#dependencies.organisationCheck.recordResult(this.#access, this.#record.result);
			this.#recordUnsuccessfulCall(route);
		}
	}

	/** Logs the call unless it ended with an upstream's response with a status below 500; also such a call if it was late and its upstream was chosen by more than its load. */
	#recordUnsuccessfulCall(route: Route | undefined): void {
		const {decisionLog, protocol, clock} = this.#dependencies;
		const isLate = this.#age + this.#elapsed > (route?.rule.objective ?? Number.POSITIVE_INFINITY);
		this.#record.log(decisionLog, {
			id: protocol.readRequestId(this.#request),
			route: route?.key,
			age: this.#age,
			version: this.#version,
			service: this.#service,
			organisation: this.#access.organisation?.name,
			access: this.#access.cause,
			deadline: this.#deadline,
			duration: clock.now() - this.#startedAt,
		}, this.#response.statusCode, isLate && this.#dependencies.chooser.isExplained);
	}

	async #runAttempts(route: Route): Promise<void> {
		const {chooser, quotas} = this.#dependencies;
		const refusal = chooser.contention.findRefusal(route, this.#age) ?? (quotas && await this.#quota.admit(this.#access.organisation?.name));
		if (refusal) {
			this.#refuse(refusal);
			return;
		}

		this.#body = await this.#bodies.read(this.#request, this.#cancellation);
		await this.#checkCaller();
		if (this.#cancellation.isCancelled) {
			this.#refuse(buildBodyRefusal(this.#cancellation.reason));
			return;
		}

		if (this.#quarantine.status === 'quarantined') {
			this.#refuse(this.#quarantine.buildRefusal());
			return;
		}

		this.#headers = copyRequestHeaders(this.#request.headers);
		this.#dependencies.organisationCheck.removeHeaders(this.#activeSnapshot, this.#headers);
		this.#headers[meshHeaders.requestId] ??= this.#dependencies.protocol.readRequestId(this.#request) ?? this.#dependencies.requestIds.create();
		this.#dependencies.retryBudget.recordCall(this.#service, this.#isNested);
		const inheritedAttempt = readPositiveInteger(this.#request, meshHeaders.attempt) ?? 1;
		const retries = new CallRetries(this.#dependencies, {
			service: this.#service, route, inheritedAttempt, counts: this.#counts, isNested: this.#isNested,
		});
		this.#record.setRetries(retries);
		let step = this.#startAttempt(route, inheritedAttempt) ?? await this.#waitForStep(route);
		while (step !== 'done') {
			if (step === 'retry' && this.#canRetry(retries)) {
				await this.#checkCaller();
				if (this.#cancellation.isCancelled) {
					continue;
				}

				step = this.#startAttempt(route, retries.addAttempt(), () => retries.admit()) ?? await this.#waitForStep(route);
			} else if (this.#inFlight.isEmpty) {
				chooser.contention.record(route, this.#age, this.#lastRefusal);
				this.#refuse(step === 'retry' ? this.#lastRefusal : step);
				return;
			} else {
				step = await this.#waitForStep(route);
			}
		}
	}

	/** Cancels the call if its caller has left or its deadline has passed. Called before each attempt, as this process may have been held up since it read the request. */
	async #checkCaller(): Promise<void> {
		if (!await isClientConnected(this.#request)) {
			this.#handleCallerClose();
		}

		if (this.#timeLeft <= 0) {
			this.#cancellation.cancel(new Error('the deadline passed'));
		}
	}

	/** Returns whether the call may be sent to another node, apart from the retry budget. The rest of a large body can be sent only once. */
	#canRetry(retries: CallRetries): boolean {
		const hasBody = !(this.#body instanceof LargeBody) || (this.#inFlight.isEmpty && !this.#body.isTaken);
		return retries.canRetry({hasBody, isCancelled: this.#cancellation.isCancelled, timeLeft: this.#timeLeft});
	}

	/** Milliseconds since the arrival of the call. */
	get #elapsed(): number {
		return this.#dependencies.clock.now() - this.#startedAt;
	}

	get #timeLeft(): number {
		return this.#deadline - this.#elapsed;
	}

	/** Starts an attempt; returns a refusal if there is no upstream for it, or if it is not admitted then. */
	#startAttempt(route: Route, attemptNumber: number, admit: () => boolean = () => true): Refusal | undefined {
		const {chooser, requestIds} = this.#dependencies;
		const member = chooser.choose(this.#service, route, this.#attemptedIds, this.#age + this.#elapsed, this.#isNested);
		if (member === undefined) {
			return chooser.findCapacityRefusal(this.#service, route) ?? (this.#attemptedIds.size > 0 ? this.#lastRefusal : buildNoUpstreamRefusal(this.#service));
		}

		if (!admit()) {
			return this.#lastRefusal;
		}

		this.#attemptedIds.add(member.id);
		const id = requestIds.create();
		this.#counts.recordStart(id);
		const attempt = createAttempt(this.#dependencies, {
			id,
			member,
			incoming: this.#request,
			choice: chooser.getInputs(member),
			route,
			service: this.#service,
			caller: this.#caller,
			organisation: this.#access.organisation?.name,
			priority: this.#access.organisation?.priority ?? route.rule.priority,
			attempt: attemptNumber,
			objectiveLeft: route.rule.objective === undefined ? undefined : route.rule.objective - this.#age - this.#elapsed,
			quarantine: this.#quarantine,
			headers: this.#headers,
			body: this.#body,
			response: this.#response,
			cancellation: this.#cancellation,
			timeLeft: this.#timeLeft,
			isForwardable: (status, headers) => isForwardableResponse({status, headers}, route, this.#dependencies.protocol, {possibleRuns: this.#counts.possibleRuns, timeLeft: this.#timeLeft}),
			buildExtraHeaders: () => ({[meshHeaders.version]: String(this.#version)}),
			onForward: () => {
				this.#inFlight.cancelOthers(attempt);
			},
		});
		this.#inFlight.add(attempt);
		return undefined;
	}

	/** Waits for the next event of an attempt in flight, and returns what follows from it. */
	async #waitForStep(route: Route): Promise<NextStep> {
		const {attempt, result} = await this.#inFlight.waitForEvent();
		if (result === undefined) {
			return this.#handleSuspicion(route, attempt);
		}

		this.#record.addAttempt(attempt.describe(result));
		return this.#handleResult(route, attempt, result);
	}

	/** Sends an idempotent call to another node as well; the attempt in flight may still be answered. */
	#handleSuspicion(route: Route, attempt: Attempt): NextStep {
		this.#counts.recordSuspicion(attempt.id);
		this.#lastRefusal = {status: statusBadGateway, outcome: outcomes.unknown, reason: `"${attempt.member.id}" does not respond`};
		return route.rule.idempotent ? 'retry' : this.#lastRefusal;
	}

	#handleResult(route: Route, attempt: Attempt, result: AttemptResult): NextStep {
		const {member} = attempt;
		switch (result.kind) {
			case 'answered': {
				this.#record.result = callResults.answered;
				return 'done';
			}

			case 'cut': {
				this.#record.result = callResults.cut;
				this.#dependencies.log.warn(`Response from "${member.id}" was cut off: ${describeError(result.error)}`);
				return 'done';
			}

			case 'not-run': {
				return this.#handleNotRun(attempt, {mayHaveRun: false, hasReachedUpstream: true}, result.reason);
			}

			case 'not-received': {
				// The upstream did not see the call, so it is a candidate for the next attempt too.
				this.#attemptedIds.delete(member.id);
				return this.#handleNotRun(attempt, noEffect, `"${member.id}" did not receive the call`, defaultRetryAfterMs);
			}

			case 'unsent': {
				return this.#handleNotRun(attempt, noEffect, `"${member.id}" can not be reached: ${describeError(result.error)}`, defaultRetryAfterMs);
			}

			case 'rejected': {
				return this.#handleRejection(route, attempt, result);
			}

			case 'unanswered': {
				this.#counts.recordEnd(attempt.id, {mayHaveRun: true, hasReachedUpstream: true});
				const status = this.#cancellation.isCancelled ? findCancelStatus(this.#cancellation.reason) : statusBadGateway;
				this.#lastRefusal = {status, outcome: outcomes.unknown, reason: `"${member.id}" did not answer: ${describeError(result.error)}`};
				return route.rule.idempotent ? 'retry' : this.#lastRefusal;
			}
		}
	}

	#handleNotRun(attempt: Attempt, effect: AttemptEffect, reason: string, retryAfter?: number): NextStep {
		const {hasReachedUpstream} = effect;
		this.#counts.recordEnd(attempt.id, effect);
		this.#lastRefusal = buildNotRunRefusal(reason, retryAfter, hasReachedUpstream);
		return 'retry';
	}

	#handleRejection(route: Route, attempt: Attempt, {refusal, crashes}: RejectedAttempt): NextStep {
		// A cancelled call ends with the status of this node's own reason, whichever path the attempt took.
		this.#lastRefusal = this.#cancellation.isCancelled && refusal.outcome === outcomes.unknown ? {...refusal, status: findCancelStatus(this.#cancellation.reason)} : refusal;
		const mayHaveRun = this.#lastRefusal.outcome === outcomes.unknown;
		this.#counts.recordEnd(attempt.id, {mayHaveRun, hasReachedUpstream: this.#lastRefusal.hasReachedUpstream ?? false});
		// An upstream without capacity for a repeated call may have some for a new one.
		if (this.#lastRefusal.lacking !== undefined && this.#age === 0) {
			this.#dependencies.chooser.recordCapacityRefusal(attempt.member, route, this.#lastRefusal);
		}

		this.#quarantine.merge(crashes);
		if (this.#quarantine.status === 'quarantined' || (mayHaveRun && this.#quarantine.crashCount >= maxCrashes)) {
			return this.#lastRefusal;
		}

		return !mayHaveRun || route.rule.idempotent ? 'retry' : this.#lastRefusal;
	}

	get #version(): number {
		return this.#activeSnapshot.encoded.snapshot.version;
	}

	/** Responds in place of an upstream. */
	#refuse(refusal: Refusal): void {
		const final = buildFinalRefusal(refusal, this.#counts.mayHaveRun, this.#dependencies.random);
		this.#quota.handleRefusal(final.outcome);
		this.#record.setRefusal(final);
		this.#dependencies.protocol.sendRefusal(this.#response, final);
		this.#request.resume();
	}

	readonly #handleCallerClose = () => {
		if (!this.#response.writableFinished) {
			this.#record.result = callResults.callerLeft;
			this.#cancellation.cancel(new Error('the caller closed its connection'));
		}
	};
}
