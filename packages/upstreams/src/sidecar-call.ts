/** One call at the sidecar of the upstream that runs it: admission, quarantine, forwarding and outcome. It knows nothing of how the call came here. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Clock} from '@ebonylead/base/base.js';
import {type DecisionLog} from '@ebonylead/base/decision-log.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type AttemptTimes} from './attempt-times.js';
import {type CallQuarantine} from './call-quarantine.js';
import {type Cancellation} from './cancellation.js';
import {isClientConnected} from './client-presence.js';
import {type CrashDetector, type InFlightCall} from './crash-detector.js';
import {forwardRequest, type ForwardResult, type ResponseHeaders} from './forward.js';
import {type LocalUpstream} from './local-upstream.js';
import {type RefusalMetrics} from './refusal-metrics.js';
import {type RequestBody} from './request-body.js';
import {findRunOutcome, type RunObserver} from './run-observer.js';
import {
	buildCancelledRefusal, buildShedRefusal, buildUnansweredRefusal, buildUnreachableRefusal,
} from './run-refusals.js';
import {type CarriedNotice} from './upstream-notice.js';
import {type ResponseValidation, type UpstreamProtocol} from './upstream-protocol.js';
import {
	defaultPriority, outcomes, refusalCauses, type SidecarRefusal,
} from './upstreams.js';

/** What a sidecar consists of, apart from its listener. */
export type SidecarDependencies = {
	readonly localUpstream: LocalUpstream;
	readonly crashDetector: CrashDetector;
	readonly protocol: UpstreamProtocol;
	readonly clock: Clock;
	readonly log: Logger;
	readonly decisionLog: DecisionLog;

	/** Are told of each run of the local upstream. */
	readonly runObservers?: readonly RunObserver[];

	/** Formats the learnt capacity of the local upstream for a call of a route, as a header value; undefined where it is not learnt. */
	readonly formatCapacity?: (route: string) => string | undefined;

	/** Counts refusals; undefined where no metrics are exported. */
	readonly refusalMetrics?: RefusalMetrics;

	/** Returns whether the deployment has organisations, so that no header of a caller that identifies one may reach the upstream; undefined counts as no. */
	readonly hasOrganisations?: () => boolean;
};

/** A call as the sidecar needs it. */
export type SidecarRequest = {
	/** Request whose method, path and connection the call has. */
	readonly incoming: IncomingMessage;

	/** Where the call comes from, for the log. */
	readonly sender: 'another node' | 'this node';

	/** Service that the call is for; undefined if its sender named none. */
	readonly service: string | undefined;

	/** Name of the caller, for fair queueing between callers. */
	readonly caller: string;

	/** Name of the organisation whose call it is; undefined on public routes, and where there are no organisations. */
	readonly organisation: string | undefined;

	/** Key of the matching rule. */
	readonly route: string;

	/** Maximum number of concurrent calls of the route; undefined for no limit of its own. */
	readonly routeSlots: number | undefined;

	/** Priority that the organisation or the rule sets; undefined if neither does. */
	readonly priority: number | undefined;

	/** Milliseconds until the objective when the attempt was sent; undefined if the rule has none. */
	readonly objective: number | undefined;

	/** Number of the attempt, from 1. */
	readonly attempt: string;
	readonly times: AttemptTimes;
	readonly quarantine: CallQuarantine;

	/** What the entry node knows of the upstream; undefined if that is nothing. */
	readonly notice: CarriedNotice | undefined;
	readonly cancellation: Cancellation;

	/** Copies the headers to be sent to the upstream, without those that only nodes may set. */
	readonly copyHeaders: () => Record<string, string | string[]>;

	/** Called when the call has got a slot. */
	readonly onAdmitted: () => void;

	/** Called when the call is about to be sent to the upstream. */
	readonly onRun: () => void;

	/** Response to the client, and how the upstream's response is forwarded to it. */
	readonly response: ServerResponse;
	readonly isForwardable: (status: number) => boolean;
	readonly buildExtraHeaders: () => Record<string, string>;
	readonly onForward?: () => void;
};

/** A call that the sidecar refused. */
export type SidecarRefused = {readonly kind: 'refused'; readonly refusal: SidecarRefusal};

/** How a call ended. Nothing was written to the client if it was refused, or rejected by `isForwardable`. */
export type SidecarResult = SidecarRefused | Extract<ForwardResult, {kind: 'answered' | 'rejected' | 'cut'}>;

/** Time in milliseconds from which on a call counts as one that waited for a slot. */
const minWaitMs = 1;

/** Share of its deadline that a call must have left for its cancellation to count as that of its caller: the time on the way of the first attempts between two nodes is not known, and was up to 37 ms on a busy machine. */
const minAbandonedShare = 0.1;
const statusUnavailable = 503;

/** Decides on one call by the rules of the sidecar, and runs it. */
export class SidecarCall {
	readonly #dependencies: SidecarDependencies;
	readonly #request: SidecarRequest;
	#body: RequestBody;

	/** Whether the response that arrived belongs to another call. */
	#isResponseForeign = false;

	constructor(dependencies: SidecarDependencies, request: SidecarRequest) {
		this.#dependencies = dependencies;
		this.#request = request;
	}

	/** Validates a call that has just arrived, whose body may not have; returns a refusal if it must not run. */
	validateArrival(): SidecarRefused | undefined {
		const {localUpstream} = this.#dependencies;
		const {service, notice, times} = this.#request;
		if (service !== undefined && service !== localUpstream.status.value.service) {
			return this.refuse({
				status: statusUnavailable, outcome: outcomes.notRun, cause: refusalCauses.otherService, reason: `the upstream here is of "${localUpstream.status.value.service}", not of "${service}"`,
			});
		}

		// What the entry node knows of the upstream counts before the call is admitted.
		if (notice !== undefined) {
			localUpstream.mergeNotice(notice);
		}

		return times.timeLeft > 0
			? undefined
			: this.refuse({
				status: statusUnavailable,
				outcome: outcomes.notRun,
				cause: refusalCauses.deadline,
				reason: `the deadline passed on the way to this node, which took ${Math.round(times.transit)} ms`,
			});
	}

	/** Admits the call and runs it, once its body has arrived. */
	async run(body: RequestBody): Promise<SidecarResult> {
		this.#body = body;
		const {localUpstream, clock} = this.#dependencies;
		const {quarantine, times, caller, organisation, priority, route, routeSlots, cancellation} = this.#request;
		if (quarantine.status === 'quarantined') {
			return this.refuse({...quarantine.buildRefusal(), cause: refusalCauses.quarantined});
		}

		const admittedFrom = clock.now();
		const admission = await localUpstream.admission.admit({
			caller,
			organisation,
			deadline: times.deadlineAt,
			objective: times.objectiveAt,
			priority: priority ?? defaultPriority,
			route,
			routeSlots,
			isExclusive: quarantine.status === 'suspect',
			cancellation,
		});
		if (admission.kind === 'refused') {
			return this.refuse(admission.refusal);
		}

		if (admission.isTrial) {
			this.#dependencies.refusalMetrics?.recordTrial();
		}

		this.#request.onAdmitted();
		let isAccepted = true;
		try {
			await this.#checkAfterWait(admittedFrom);
			const admittedAt = clock.now();
			const result = await this.#runAdmitted();
			isAccepted = result.kind !== 'refused' || result.refusal.cause !== refusalCauses.upstream;
			if (result.kind !== 'refused') {
				this.#recordSummary(admission.isTrial ? 'trial' : 'run', {transit: times.transit, wait: admittedAt - admittedFrom, slot: clock.now() - admittedAt});
			}

			return result;
		} finally {
			admission.release(isAccepted);
		}
	}

	/** Records a refusal, and returns it as the result. */
	refuse(refusal: SidecarRefusal): SidecarRefused {
		const {decisionLog, localUpstream, protocol, refusalMetrics} = this.#dependencies;
		const {incoming, sender, organisation, priority, objective, times} = this.#request;
		refusalMetrics?.recordRefusal(refusal.cause, refusal.outcome);
		this.#recordSummary(refusal.cause, {transit: times.transit, refused: times.duration});
		decisionLog.record({
			id: protocol.readRequestId(incoming.headers),
			service: localUpstream.status.value.service,
			instance: localUpstream.instance,
			outcome: refusal.outcome,
			reason: refusal.reason,
			organisation,
			rank: priority,
			objective,
			running: localUpstream.admission.running,
			waiting: localUpstream.admission.waiting,
			estimates: {...localUpstream.admission.estimates, ...localUpstream.admission.describeRoute(this.#request.route)},
			deadline: times.deadline,
			transit: Math.round(times.transit),
			duration: Math.round(times.duration),
		}, `Refused a call of ${sender}`);
		return {kind: 'refused', refusal};
	}

	#recordSummary(outcome: string, durations: Readonly<Record<string, number>>): void {
		this.#dependencies.decisionLog.summaries.record(this.#request.route, outcome, durations);
	}

	/** Cancels a call that waited for a slot if its client has closed the connection meanwhile: the end may have arrived together with what made the slot free. */
	async #checkAfterWait(admittedFrom: number): Promise<void> {
		const {incoming, cancellation} = this.#request;
		if (this.#dependencies.clock.now() - admittedFrom >= minWaitMs && !await isClientConnected(incoming)) {
			cancellation.cancel(new Error('the connection was closed while the call waited'));
		}
	}

	async #runAdmitted(): Promise<SidecarResult> {
		const {crashDetector, localUpstream, clock} = this.#dependencies;
		const {quarantine} = this.#request;
		// It may have been quarantined while it waited.
		if (quarantine.status === 'quarantined') {
			return this.refuse({...quarantine.buildRefusal(), cause: refusalCauses.quarantined});
		}

		const call: InFlightCall = {
			generation: quarantine.nextGeneration, incarnation: localUpstream.incarnation, computeFingerprint: () => quarantine.fingerprint,
		};
		crashDetector.add(call);
		this.#request.onRun();
		const startedAt = clock.now();
		const concurrency = localUpstream.admission.running;
		try {
			const forwarded = await this.#forward();
			// A failed response that broke off tells of a lost connection, which may be a crash.
			const result: ForwardResult = forwarded.kind === 'rejected' && forwarded.error ? {kind: 'unanswered', error: forwarded.error} : forwarded;
			this.#recordRun(result, startedAt, concurrency);
			if (result.kind === 'answered' || result.kind === 'rejected') {
				quarantine.recordResponse(result.status);
			}

			return await this.#handleResult(call, result);
		} finally {
			crashDetector.remove(call);
		}
	}

	/** Whether the call was cancelled well before its deadline, as its caller left. At the deadline the connection of the entry node may end before the timer of this node. */
	get #isAbandoned(): boolean {
		const {cancellation, times} = this.#request;
		return cancellation.isCancelled && times.timeLeft > times.deadline * minAbandonedShare;
	}

	#recordRun(result: ForwardResult, startedAt: number, concurrency: number): void {
		const {runObservers, clock} = this.#dependencies;
		const outcome = runObservers && findRunOutcome(result, this.#isAbandoned);
		if (outcome === undefined) {
			return;
		}

		const run = {
			route: this.#request.route, outcome, duration: clock.now() - startedAt, concurrency,
		};
		for (const observer of runObservers!) {
			observer.recordRun(run);
		}
	}

	async #forward(): Promise<ForwardResult> {
		const {localUpstream, protocol, clock} = this.#dependencies;
		const {incoming, times, attempt, caller, organisation, response, cancellation, isForwardable, buildExtraHeaders, onForward} = this.#request;
		if (localUpstream.pool === undefined) {
			return {kind: 'unsent', error: new Error('no upstream was announced')};
		}

		const {timeLeft} = times;
		if (timeLeft <= 0) {
			return {kind: 'unsent', error: new Error('the deadline passed before the call was sent to the upstream')};
		}

		const headers = this.#request.copyHeaders();
		protocol.setRequestHeaders(headers, {
			timeLeft, attempt, caller, organisation, instance: localUpstream.instance, hasOrganisations: this.#dependencies.hasOrganisations?.(),
		});
		const {incarnation} = localUpstream;
		const requestedAt = clock.now();
		return forwardRequest({
			dispatcher: localUpstream.pool,
			origin: localUpstream.origin,
			method: incoming.method ?? 'GET',
			path: incoming.url ?? '/',
			headers,
			body: this.#body,
			response,
			cancellation,
			validateResponse: (status, responseHeaders) => {
				const validation = protocol.validateResponse(status, responseHeaders, headers);
				this.#isResponseForeign = validation.kind === 'invalid' && validation.isForeign === true;
				this.#recordNotice(validation, responseHeaders, incarnation, requestedAt);
				return validation;
			},
			isForwardable,
			buildExtraHeaders,
			onForward,
			removeMeshHeaders: true,
		});
	}

	/** Records what the upstream says of itself, unless the response is of another process or belongs to another request. */
	#recordNotice(validation: ResponseValidation, headers: ResponseHeaders, incarnation: string, requestedAt: number): void {
		if (validation.kind === 'invalid' || (validation.kind === 'not-run' && validation.isOtherInstance)) {
			return;
		}

		const {protocol, localUpstream, decisionLog} = this.#dependencies;
		const {notice, fault} = protocol.readNotice(headers);
		if (fault !== undefined) {
			decisionLog.record({instance: localUpstream.instance, fault}, 'Ignored a limit of the upstream');
		}

		localUpstream.recordResponse({
			notice, incarnation, requestedAt, isFinal: validation.kind === 'final',
		});
	}

	async #handleResult(call: InFlightCall, result: ForwardResult): Promise<SidecarResult> {
		const {localUpstream, log, crashDetector} = this.#dependencies;
		switch (result.kind) {
			case 'answered':
			case 'rejected': {
				return result;
			}

			case 'not-run': {
				if (result.isOtherInstance) {
					localUpstream.handleOtherInstance();
				}

				return this.refuse(buildShedRefusal(result.reason));
			}

			case 'unsent': {
				if ((result.error as NodeJS.ErrnoException).code === 'ECONNREFUSED') {
					localUpstream.handleConnectionRefused();
				}

				return this.refuse(buildUnreachableRefusal(result.error));
			}

			case 'unanswered': {
				return this.#handleNoResponse(call, result.error);
			}

			case 'cut': {
				log.warn(`Response from upstream ${localUpstream.origin} was cut off: ${describeError(result.error)}`);
				await crashDetector.handleLostConnection(call);
				return result;
			}
		}
	}

	async #handleNoResponse(call: InFlightCall, error: Error): Promise<SidecarRefused> {
		if (this.#request.cancellation.isCancelled) {
			return this.refuse(buildCancelledRefusal(error));
		}

		await this.#dependencies.crashDetector.handleLostConnection(call);
		return this.refuse(buildUnansweredRefusal(error, this.#isResponseForeign));
	}
}
