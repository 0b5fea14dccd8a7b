/** One attempt of a call at the upstream of this node, without a second hop. */
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {AttemptTimes} from '@ebonylead/upstreams/attempt-times.js';
import {Cancellation} from '@ebonylead/upstreams/cancellation.js';
import {SidecarCall, type SidecarDependencies, type SidecarResult} from '@ebonylead/upstreams/sidecar-call.js';
import {encodeNotice} from '@ebonylead/upstreams/upstream-notice.js';
import {outcomes} from '@ebonylead/upstreams/upstreams.js';
import {floorDuration} from './attempt-headers.js';
import {buildStatusRefusal} from './attempt-refusals.js';
import {
	describeEnd, type Attempt, type AttemptResult, type CallAttempt, type RejectedAttempt,
} from './attempt.js';
import {type CallerListenerDependencies} from './callers.js';

/** Gives a call to the sidecar in this process. There is no connection between nodes that could be lost, so the attempt never shows that the member is out of reach. */
export class LocalAttempt implements Attempt {
	readonly ended: Promise<AttemptResult>;
	readonly suspected = undefined;
	readonly #dependencies: CallerListenerDependencies;
	readonly #sidecar: SidecarDependencies;
	readonly #options: CallAttempt;
	readonly #cancellation = new Cancellation();
	readonly #startedAt: number;
	#isSuperseded = false;

	constructor(dependencies: CallerListenerDependencies, sidecar: SidecarDependencies, options: CallAttempt) {
		this.#dependencies = dependencies;
		this.#sidecar = sidecar;
		this.#options = options;
		this.#startedAt = dependencies.clock.now();
		this.ended = this.#run();
	}

	get id(): string {
		return this.#options.id;
	}

	get member(): Member {
		return this.#options.member;
	}

	cancel(): void {
		this.#isSuperseded = true;
		this.#cancellation.cancel(new Error('another attempt got the response'));
	}

	describe(result: AttemptResult): string {
		return describeEnd(this.member, result, this.#dependencies.clock.now() - this.#startedAt, this.#options.choice);
	}

	async #run(): Promise<AttemptResult> {
		const {chooser} = this.#dependencies;
		const {localUpstream} = this.#sidecar;
		const {member, route, body, cancellation} = this.#options;
		chooser.recordStart(member);
		cancellation.addListener(this.#handleCallCancel);
		try {
			const call = this.#createCall();
			return this.#buildResult(call.validateArrival() ?? await call.run(body));
		} finally {
			cancellation.removeListener(this.#handleCallCancel);
			const isInconclusive = cancellation.isCancelled || this.#isSuperseded;
			chooser.recordEnd(member, isInconclusive ? undefined : false, localUpstream.admission.load);
			chooser.recordAcceptance(member, localUpstream.admission.acceptance);
			chooser.recordCapacity(member, route.key, this.#sidecar.formatCapacity?.(route.key));
		}
	}

	#createCall(): SidecarCall {
		const {
			incoming, service, caller, organisation, route, priority, attempt, timeLeft, objectiveLeft, quarantine, headers, response, isForwardable, buildExtraHeaders, onForward,
		} = this.#options;
		const objective = objectiveLeft === undefined ? undefined : floorDuration(objectiveLeft);
		return new SidecarCall(this.#sidecar, {
			incoming,
			sender: 'this node',
			service,
			caller,
			organisation,
			route: route.key,
			routeSlots: route.rule.slots,
			priority,
			objective,
			attempt: String(attempt),
			times: new AttemptTimes(this.#dependencies.clock, {deadline: floorDuration(timeLeft), objective, transit: 0}),
			quarantine,
			notice: undefined,
			cancellation: this.#cancellation,
			copyHeaders: () => ({...headers}),
			onAdmitted: () => undefined,
			onRun: () => undefined,
			response,
			isForwardable: status => {
				this.#recordNotice();
				// An upstream can't refuse in the name of a sidecar, so its headers don't count.
				return isForwardable(status, {});
			},
			buildExtraHeaders,
			onForward,
		});
	}

	/** Records what the upstream says of itself, before any byte of its response is passed on. */
	#recordNotice(): void {
		const {notice} = this.#sidecar.localUpstream;
		this.#dependencies.chooser.notices.record(this.member, {
			text: notice && encodeNotice(notice), isFromUpstream: true, sentAt: this.#startedAt,
		});
	}

	#buildResult(result: SidecarResult): AttemptResult {
		const {reason} = this.#options.cancellation;
		// The call decides on its response if it was cancelled itself.
		return reason && result.kind === 'refused' && result.refusal.outcome === outcomes.unknown ? {kind: 'unanswered', error: reason} : buildAttemptResult(result);
	}

	readonly #handleCallCancel = (reason: Error) => {
		this.#cancellation.cancel(reason);
	};
}

function buildAttemptResult(result: SidecarResult): AttemptResult {
	switch (result.kind) {
		case 'answered':
		case 'cut': {
			return result;
		}

		case 'refused': {
			return buildRejection(result.refusal, result.refusal.reason);
		}

		case 'rejected': {
			return buildRejection(buildStatusRefusal(result.status), String(result.status));
		}
	}
}

function buildRejection(refusal: RejectedAttempt['refusal'], detail: string): RejectedAttempt {
	return {
		kind: 'rejected', refusal, detail, crashes: undefined,
	};
}
