/** One call, from its arrival to its end, with all its tries. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {describeError} from '@ebonylead/base/errors.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {type Route} from '@ebonylead/rules/route-table.js';
import {type Applied} from '@ebonylead/rules/applied-version.js';
import {Cancellation} from '@ebonylead/upstreams/cancellation.js';
import {
	copyRequestHeaders, forwardRequest, ProgressTimeoutError, type ResponseHeaders, type ForwardResult,
} from '@ebonylead/upstreams/forward.js';
import {readBody, type RequestBody} from '@ebonylead/upstreams/request-body.js';
import {readPositiveInteger} from '@ebonylead/upstreams/request-headers.js';
import {meshHeaders, outcomes, type Refusal} from '@ebonylead/upstreams/upstreams.js';
import {pickService} from './service-split.js';
import {readRefusal} from './refusal-reader.js';
import {setTryHeaders} from './try-headers.js';
import {callResults, type CallResult} from './call-metrics.js';
import {type CallerParts} from './callers.js';
import {type RequestTarget} from './request-target.js';

/** Most upstreams that one call may be sent to, where its rule does not say. */
const defaultMaxTries = 3;

/** Most nodes that one call asks for a slot; a refusal costs them little. */
const maxNodesAsked = 3;

/** Shortest time left in milliseconds for which another try is worth it: two hops and the fastest answers take about that. */
const minTimeForTry = 10;

/** Upstreams that may die of one call before it is tried no more. */
const maxCrashes = 2;

/** Bounds of the time in milliseconds in which the other node must show a sign of life; it sends one each 100 ms. */
const maxProgressTimeout = 800;
const minProgressTimeout = 300;
const progressShare = 0.5;

/** Time in milliseconds after which a node that took no connection counts as unreachable, though the call ended meanwhile. */
const unreachableTime = 150;
const defaultRetryAfter = 200;

const statusBadRequest = 400;
const statusNotFound = 404;
const firstServerError = 500;
const statusBadGateway = 502;
const statusUnavailable = 503;
const statusTimeout = 504;
const retryableStatuses: ReadonlySet<number> = new Set([500, 502, 503, 504]);

/** What a try leads to. */
type NextStep = 'done' | 'retry' | Refusal;

/** Runs one call under the snapshot that was in force when it arrived. */
export class Call {
	readonly #parts: CallerParts;
	readonly #request: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #applied: Applied;
	readonly #startedAt: number;
	readonly #cancellation = new Cancellation();
	readonly #tried = new Set<string>();
	#headers: Record<string, string | string[]> = {};
	#deadline = 0;

	/** Time in milliseconds that the caller had spent when this attempt came. */
	#age = 0;
	#service = '';
	#result: CallResult = callResults.notRun;
	#mayHaveRun = false;

	/** Upstreams that may have run this call. */
	#runs = 0;

	/** What each node that was asked did, for the log. */
	readonly #steps: string[] = [];
	#status = 0;
	#reason = '';

	/** Upstreams that this call arrived at, those that refused it included. */
	#arrivals = 0;

	/** Upstreams that died while this call was in flight there. */
	#crashes = 0;
	#lastRefusal: Refusal = {status: statusUnavailable, outcome: outcomes.notRun, reason: 'no try was made'};

	constructor(parts: CallerParts, request: IncomingMessage, response: ServerResponse) {
		this.#parts = parts;
		this.#request = request;
		this.#response = response;
		this.#applied = parts.applied.current;
		this.#startedAt = parts.clock.now();
	}

	/** Runs the call to its end. */
	async run(): Promise<void> {
		const target = this.#parts.protocol.readTarget(this.#request);
		await target.caseOf({
			Left: async reason => {
				this.#refuse({status: statusBadRequest, outcome: outcomes.notRun, reason});
			},
			Right: async found => this.#runRoute(found),
		});
	}

	/** Ends the call with an answer of this node. */
	cancel(reason: Error): void {
		this.#cancellation.cancel(reason);
	}

	async #runRoute(target: RequestTarget): Promise<void> {
		const route = this.#applied.routes.findRoute({method: this.#request.method ?? 'GET', headers: this.#request.headers, ...target});
		if (route === undefined) {
			this.#refuse({status: statusNotFound, outcome: outcomes.notRun, reason: `no rule of version ${this.#version} matches ${this.#request.method} ${target.host}${target.path}`});
			this.#logEnd(undefined);
			return;
		}

		this.#service = pickService(route, this.#parts.random);
		const callerDeadline = this.#parts.protocol.readDeadline(this.#request) ?? route.rule.deadline;
		this.#age = this.#parts.ages.estimate(route.key, callerDeadline);
		this.#deadline = Math.min(route.rule.deadline, callerDeadline);
		const timer = setTimeout(() => {
			this.#cancellation.cancel(new Error('the deadline passed'));
		}, this.#deadline);
		this.#response.on('close', this.#handleCallerClose);
		try {
			await this.#runTries(route);
		} finally {
			clearTimeout(timer);
			this.#parts.metrics.recordCall(this.#service, this.#result, this.#parts.clock.now() - this.#startedAt);
			this.#recordBurn(route);
			this.#logEnd(route);
		}
	}

	/** One line for each call that did not end with an answer of an upstream that the caller can use. */
	#logEnd(route: Route | undefined): void {
		const {decisions, protocol, clock} = this.#parts;
		if (this.#result === callResults.answered && this.#response.statusCode < firstServerError) {
			return;
		}

		decisions.record({
			id: protocol.readRequestId(this.#request),
			route: route?.key,
			age: Math.round(this.#age),
			version: this.#version,
			service: this.#service,
			result: this.#result,
			status: this.#status === 0 ? this.#response.statusCode : this.#status,
			reason: this.#reason,
			asked: this.#steps,
			deadline: Math.round(this.#deadline),
			duration: Math.round(clock.now() - this.#startedAt),
		}, 'Ended a call');
	}

	async #runTries(route: Route): Promise<void> {
		const body = await this.#readBody();
		if (this.#cancellation.isCancelled) {
			this.#refuse({status: statusTimeout, outcome: outcomes.notRun, reason: 'the body did not come whole before the deadline'});
			return;
		}

		this.#headers = copyRequestHeaders(this.#request.headers);
		this.#headers[meshHeaders.requestId] ??= this.#parts.protocol.readRequestId(this.#request) ?? this.#parts.requestIds.create();
		this.#headers[meshHeaders.caller] = this.#parts.protocol.readCaller(this.#request);
		this.#parts.budget.recordCall(this.#service);
		const inheritedAttempt = readPositiveInteger(this.#request, meshHeaders.attempt) ?? 1;
		for (let number = 1; ; number++) {
			const step = await this.#runTry(route, body, inheritedAttempt + number - 1);
			if (step === 'done') {
				return;
			}

			if (step === 'retry' && body !== this.#request && this.#mayTryAgain(route, number, inheritedAttempt)) {
				this.#parts.metrics.recordRetry(this.#service);
				continue;
			}

			this.#refuse(step === 'retry' ? this.#lastRefusal : step);
			return;
		}
	}

	/**
	 * Says whether another node may be asked. Only a call that arrived at an upstream
	 * draws on the budget, as a refusal by a node puts no load on an upstream. A call
	 * below a retried one does not run again itself, so that retries don't
	 * multiply down a chain.
	 */
	#mayTryAgain(route: Route, asked: number, inheritedAttempt: number): boolean {
		if (this.#cancellation.isCancelled || this.#timeLeft < minTimeForTry || asked >= maxNodesAsked) {
			return false;
		}

		if (this.#runs > 0 && !(route.rule.idempotent && this.#runs < (route.rule.maxTries ?? defaultMaxTries))) {
			return false;
		}

		return this.#arrivals === 0 || (inheritedAttempt === 1 && this.#parts.budget.takeRetry(this.#service));
	}

	get #timeLeft(): number {
		return this.#deadline - (this.#parts.clock.now() - this.#startedAt);
	}

	async #runTry(route: Route, body: RequestBody, attempt: number): Promise<NextStep> {
		const {chooser, pools} = this.#parts;
		const member = chooser.choose(this.#service, route, this.#tried);
		if (member === undefined) {
			return chooser.findRefusal(this.#service, route) ?? (this.#tried.size > 0 ? this.#lastRefusal : this.#buildAbsence());
		}

		this.#tried.add(member.id);
		chooser.recordStart(member);
		const startedAt = this.#parts.clock.now();
		const origin = `http://${member.host}:${member.meshPort}`;
		const result = await forwardRequest({
			dispatcher: pools.open(origin),
			origin,
			method: this.#request.method ?? 'GET',
			path: this.#request.url ?? '/',
			headers: this.#buildHeaders(route, attempt),
			body,
			response: this.#response,
			cancellation: this.#cancellation,
			progressTimeout: Math.max(minProgressTimeout, Math.min(maxProgressTimeout, this.#deadline * progressShare)),
			isAcceptable: (status, headers) => this.#isWanted(route, status, headers),
			buildExtraHeaders: () => ({[meshHeaders.version]: String(this.#version)}),
			isMeshHeaderDropped: false,
		});
		this.#recordEnd(member, origin, startedAt, result);
		const detail = 'error' in result ? describeError(result.error) : String('headers' in result ? result.headers[meshHeaders.reason] ?? result.status : result.reason);
		this.#steps.push(`${member.id} r${member.incarnation} ${result.kind} after ${Math.round(this.#parts.clock.now() - startedAt)} ms: ${detail}`);
		return this.#decide(route, member, result);
	}

	#buildAbsence(): Refusal {
		return {
			status: statusUnavailable, outcome: outcomes.notRun, reason: `no upstream of "${this.#service}" is ready`, retryAfter: defaultRetryAfter,
		};
	}

	/** Says whether an answer goes to the caller: refusals don't, and neither do failures that may be tried again. */
	#isWanted(route: Route, status: number, headers: ResponseHeaders): boolean {
		if (headers[meshHeaders.outcome] !== undefined) {
			return false;
		}

		const isRetryWorthIt = this.#runs + 1 < (route.rule.maxTries ?? defaultMaxTries) && this.#timeLeft > minTimeForTry;
		return !(route.rule.idempotent && retryableStatuses.has(status) && isRetryWorthIt);
	}

	#decide(route: Route, member: Member, result: ForwardResult): NextStep {
		switch (result.kind) {
			case 'answered': {
				this.#result = callResults.answered;
				return 'done';
			}

			case 'cut': {
				this.#result = callResults.cut;
				this.#parts.log.warn(`Cut an answer of "${member.id}": ${describeError(result.error)}`);
				return 'done';
			}

			case 'not-run': {
				this.#lastRefusal = {
					status: statusUnavailable, outcome: outcomes.notRun, reason: result.reason, hasArrived: true,
				};
				this.#recordRun(false);
				return 'retry';
			}

			case 'unsent': {
				this.#lastRefusal = {
					status: statusUnavailable, outcome: outcomes.notRun, reason: `"${member.id}" can not be reached: ${describeError(result.error)}`, retryAfter: defaultRetryAfter,
				};
				return 'retry';
			}

			case 'rejected': {
				this.#lastRefusal = readRefusal(result.status, result.headers);
				this.#recordRun(this.#lastRefusal.outcome === outcomes.unknown);
				// What has no room for a returning call may have some for a new one.
				if (this.#lastRefusal.isFull && this.#age === 0) {
					this.#parts.chooser.recordFull(member, route, this.#lastRefusal);
				}

				this.#crashes = Math.max(this.#crashes, Number(result.headers[meshHeaders.suspect] ?? 0));
				if (this.#crashes >= maxCrashes) {
					return this.#lastRefusal;
				}

				return this.#lastRefusal.outcome === outcomes.notRun || route.rule.idempotent ? 'retry' : this.#lastRefusal;
			}

			case 'unanswered': {
				this.#recordRun(true);
				const status = this.#cancellation.isCancelled ? statusTimeout : statusBadGateway;
				this.#lastRefusal = {status, outcome: outcomes.unknown, reason: `"${member.id}" did not answer: ${describeError(result.error)}`};
				return route.rule.idempotent ? 'retry' : this.#lastRefusal;
			}
		}
	}

	#recordRun(mayHaveRun: boolean): void {
		this.#runs += mayHaveRun ? 1 : 0;
		this.#arrivals += mayHaveRun || this.#lastRefusal.hasArrived ? 1 : 0;
		this.#mayHaveRun ||= mayHaveRun;
	}

	#recordEnd(member: Member, origin: string, startedAt: number, result: ForwardResult): void {
		const {chooser, pools} = this.#parts;
		const isFailure = result.kind === 'unsent' || result.kind === 'unanswered' || result.kind === 'cut';
		const load = 'headers' in result ? Number(result.headers[meshHeaders.load]) : undefined;
		chooser.recordEnd(member, isFailure && !this.#cancellation.isCancelled, load);
		const isUnreachable = !this.#cancellation.isCancelled || this.#parts.clock.now() - startedAt > unreachableTime;
		if (result.kind === 'unsent' && isUnreachable) {
			chooser.recordUnreachable(member);
		}

		if ('headers' in result) {
			pools.recordAnswer(origin);
			this.#parts.onVersion?.(Number(result.headers[meshHeaders.version] ?? 0), origin);
		}

		const isTimeout = result.kind === 'unanswered' && (result.error instanceof ProgressTimeoutError || this.#cancellation.isCancelled);
		if (isTimeout && this.#result !== callResults.callerLeft) {
			pools.retireIfSilent(origin, startedAt);
		}
	}

	#buildHeaders(route: Route, attempt: number): Record<string, string | string[]> {
		const {rule} = route;
		const spent = this.#age + this.#parts.clock.now() - this.#startedAt;
		setTryHeaders(this.#headers, {
			route,
			attempt,
			service: this.#service,
			crashes: this.#crashes,
			timeLeft: this.#timeLeft,
			objectiveLeft: rule.objective === undefined ? undefined : rule.objective - spent,
			origin: this.#parts.origin,
			version: this.#parts.applied.version,
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

	/** Counts the call against the route's objective; a caller that left says nothing about the service. */
	#recordBurn(route: Route): void {
		if (this.#result !== callResults.callerLeft) {
			const isGood = this.#result === callResults.answered && this.#response.statusCode < firstServerError;
			this.#parts.burn.record(route.key, isGood);
		}
	}

	get #version(): number {
		return this.#applied.encoded.snapshot.version;
	}

	/**
	 * Answers in place of an upstream. "Not run" is said only where no try may
	 * have run. The advice to come again is spread over as long again, so that
	 * those who were refused together don't return together.
	 */
	#refuse(refusal: Refusal): void {
		const outcome = this.#mayHaveRun ? outcomes.unknown : refusal.outcome;
		this.#result = outcome === outcomes.notRun ? callResults.notRun : callResults.unknown;
		const retryAfter = refusal.retryAfter && refusal.retryAfter * (1 + this.#parts.random.next());
		this.#status = refusal.status;
		this.#reason = refusal.reason;
		this.#parts.protocol.sendRefusal(this.#response, {...refusal, outcome, retryAfter});
		this.#request.resume();
	}

	readonly #handleCallerClose = () => {
		if (!this.#response.writableFinished) {
			this.#result = callResults.callerLeft;
			this.#cancellation.cancel(new Error('the caller closed its connection'));
		}
	};
}
