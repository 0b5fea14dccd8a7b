/** One attempt of a call over another node, at its sidecar. */
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {attemptStates} from '@ebonylead/upstreams/attempt-probe.js';
import {Cancellation} from '@ebonylead/upstreams/cancellation.js';
import {forwardRequest, type ForwardResult, type ResponseHeaders} from '@ebonylead/upstreams/forward.js';
import {meshHeaders} from '@ebonylead/upstreams/upstreams.js';
import {type Dispatcher} from 'undici';
import {type SilentAttempt} from './attempt-prober.js';
import {readAcceptance, readRefusal} from './attempt-refusals.js';
import {attemptVerdicts, chooseVerdict, type ProbeOutcome} from './attempt-verdict.js';
import {
	describeEnd, type Attempt, type AttemptOptions, type AttemptResult,
} from './attempt.js';
import {type CallerListenerDependencies} from './callers.js';

/** Bounds in milliseconds of the time without a byte from the sidecar after which it is probed. */
const minSilenceMs = 300;
const maxSilenceMs = 600;

/** That time as a share of the time that the attempt has, before the bounds apply. */
const silenceShare = 0.4;

/** Time in milliseconds without a connection after which a node counts as unreachable, even if the call was cancelled in the meantime. */
const unreachableAfterMs = 150;

/** Time in milliseconds by which a timer may fire early. */
const timerToleranceMs = 1;

/** Number of probes in a row without a response after which the upstream is ejected. */
const maxFailedProbes = 2;

/** What is sent to the sidecar. */
export type RemoteAttemptOptions = AttemptOptions & {
	readonly method: string;
	readonly path: string;
	readonly headers: Record<string, string | string[]>;
};

/** Sends a call to a sidecar. While the sidecar is silent, the attempt is probed; only its own connection, or the report that it was not received, ends it before the deadline. */
export class RemoteAttempt implements Attempt, SilentAttempt {
	/** Resolves when the attempt ended. */
	readonly ended: Promise<AttemptResult>;

	/** Resolves when the response may be lost, so that the call may be sent to another node as well. */
	readonly suspected: Promise<void>;

	readonly #dependencies: CallerListenerDependencies;
	readonly #options: RemoteAttemptOptions;
	readonly #cancellation = new Cancellation();
	readonly #pool: Dispatcher;
	readonly #startedAt: number;
	#resolveSuspected: (() => void) | undefined;
	#hasForwarded = false;
	#isNotReceived = false;
	#isSuperseded = false;
	#endedAt: number | undefined;
	#failedProbes = 0;
	#isSuspect = false;

	/** Outcomes of the probes, for the log; equal ones in a row are counted. */
	readonly #probes: Array<{readonly text: string; count: number}> = [];

	constructor(dependencies: CallerListenerDependencies, options: RemoteAttemptOptions) {
		this.#dependencies = dependencies;
		this.#options = options;
		// The pool comes first, so that it counts as one that existed when the attempt started.
		this.#pool = dependencies.pools.getPool(this.origin);
		this.#startedAt = dependencies.clock.now();
		this.suspected = new Promise(resolve => {
			this.#resolveSuspected = resolve;
		});
		this.ended = this.#run();
	}

	get id(): string {
		return this.#options.id;
	}

	get member(): Member {
		return this.#options.member;
	}

	get origin(): string {
		return `http://${this.member.host}:${this.member.meshPort}`;
	}

	/** Cancels the attempt, as another one of the call responded. */
	cancel(): void {
		this.#isSuperseded = true;
		this.#cancellation.cancel(new Error('another attempt got the response'));
	}

	handleProbe(outcome: ProbeOutcome): void {
		this.#recordProbe(outcome);
		const {clock} = this.#dependencies;
		const age = clock.now() - this.#startedAt;
		if (outcome.kind === 'reported') {
			this.#failedProbes = 0;
			this.#endedAt = outcome.state === attemptStates.ended ? this.#endedAt ?? clock.now() : undefined;
		}

		const verdict = chooseVerdict(outcome, {
			age,
			timeLeft: this.#options.timeLeft - age,
			endedFor: this.#endedAt === undefined ? undefined : clock.now() - this.#endedAt,
		});
		switch (verdict) {
			case attemptVerdicts.wait: {
				return;
			}

			case attemptVerdicts.suspect: {
				this.#handleSuspicion(outcome);
				return;
			}

			case attemptVerdicts.notReceived: {
				this.#cancelAsNotReceived();
			}
		}
	}

	describe(result: AttemptResult): string {
		const probes = this.#describeProbes();
		return `${describeEnd(this.member, result, this.#dependencies.clock.now() - this.#startedAt, this.#options.choice)}${probes === '' ? '' : `; probes: ${probes}`}`;
	}

	async #run(): Promise<AttemptResult> {
		const {chooser} = this.#dependencies;
		const {member, method, path, headers, body, response, cancellation, timeLeft, isForwardable, buildExtraHeaders} = this.#options;
		chooser.recordStart(member);
		cancellation.addListener(this.#handleCallCancel);
		const result = await forwardRequest({
			dispatcher: this.#pool,
			origin: this.origin,
			method,
			path,
			headers,
			body,
			isRestHeldBack: true,
			response,
			cancellation: this.#cancellation,
			silence: {timeout: Math.max(minSilenceMs, Math.min(maxSilenceMs, timeLeft * silenceShare)), onChange: this.#handleSilence},
			isForwardable: (status, responseHeaders) => {
				this.#recordNotice(responseHeaders);
				return isForwardable(status, responseHeaders);
			},
			buildExtraHeaders,
			onForward: this.#handleForward,
			removeMeshHeaders: false,
		});
		cancellation.removeListener(this.#handleCallCancel);
		this.#recordEnd(result);
		return this.#buildResult(result);
	}

	#buildResult(result: ForwardResult): AttemptResult {
		if (result.kind === 'rejected') {
			const {status, headers} = result;
			return {
				kind: 'rejected', refusal: readRefusal(status, headers), detail: String(headers[meshHeaders.reason] ?? status), crashes: headers[meshHeaders.crashes],
			};
		}

		return this.#isNotReceived && result.kind === 'unanswered' ? {kind: 'not-received', error: result.error} : result;
	}

	/** Records what the upstream says of itself, before any byte of its response is passed on. */
	#recordNotice(headers: ResponseHeaders): void {
		this.#dependencies.chooser.notices.record(this.member, {
			text: headers[meshHeaders.notice],
			isFromUpstream: headers[meshHeaders.outcome] === undefined,
			sentAt: this.#startedAt,
		});
	}

	/** A sidecar can't have waited for an attempt for longer than the attempt took: if it reports so, it has misread the clock of this node. */
	#checkTransit(headers: ResponseHeaders, age: number): void {
		const transit = Number(headers[meshHeaders.transit] ?? 0);
		if (transit > age + timerToleranceMs) {
			this.#recordDecision({transit}, 'Renewed the clock of this node, as a sidecar has misread it');
			this.#dependencies.sendClock.renew();
		}
	}

	#recordResponse(headers: ResponseHeaders): void {
		const {pools, onVersion, onCrashDigest} = this.#dependencies;
		pools.recordResponse(this.origin);
		onVersion?.(Number(headers[meshHeaders.version] ?? 0), this.origin);
		onCrashDigest?.(String(headers[meshHeaders.crashDigest] ?? ''), this.origin);
	}

	readonly #handleCallCancel = (reason: Error) => {
		this.#cancellation.cancel(reason);
	};

	readonly #handleSilence = (isSilent: boolean) => {
		const {attemptProber} = this.#dependencies;
		if (isSilent) {
			attemptProber.add(this);
		} else {
			this.#endedAt = undefined;
			attemptProber.remove(this);
		}
	};

	readonly #handleForward = () => {
		this.#hasForwarded = true;
		this.#options.onForward();
	};

	#handleSuspicion(outcome: ProbeOutcome): void {
		this.#dependencies.pools.closeIfUnresponsive(this.origin, this.#startedAt);
		if (outcome.kind !== 'reported') {
			this.#handleFailedProbe();
		}

		if (!this.#isSuspect) {
			this.#isSuspect = true;
			this.#recordDecision({}, outcome.kind === 'reported' ? 'The response to an attempt may be lost' : 'A sidecar does not respond to probes');
		}

		if (!this.#hasForwarded) {
			this.#resolveSuspected?.();
		}
	}

	#handleFailedProbe(): void {
		const {chooser} = this.#dependencies;
		this.#failedProbes++;
		if (this.#failedProbes >= maxFailedProbes && chooser.findExclusion(this.member) === undefined) {
			chooser.recordUnreachable(this.member);
		}
	}

	/** Ends the attempt, as the sidecar reported that it has not received it and will refuse it. */
	#cancelAsNotReceived(): void {
		this.#isNotReceived = true;
		this.#recordDecision({verdict: attemptVerdicts.notReceived}, 'Ended an attempt at a silent sidecar');
		this.#dependencies.pools.closeIfUnresponsive(this.origin, this.#startedAt);
		this.#cancellation.cancel(new Error('the sidecar has not received the call'));
	}

	#describeProbes(): string {
		return this.#probes.map(({text, count}) => count === 1 ? text : `${text} (${count} times)`).join(', ');
	}

	#recordDecision(inputs: Readonly<Record<string, unknown>>, message: string): void {
		const {clock, decisionLog} = this.#dependencies;
		decisionLog.record({
			id: this.#options.headers[meshHeaders.requestId], asked: this.member.id, age: Math.round(clock.now() - this.#startedAt), probes: this.#describeProbes(), ...inputs,
		}, message);
	}

	#recordProbe(outcome: ProbeOutcome): void {
		const text = describeOutcome(outcome);
		const last = this.#probes.at(-1);
		if (last?.text === text) {
			last.count++;
		} else {
			this.#probes.push({text, count: 1});
		}
	}

	#recordEnd(result: ForwardResult): void {
		const {chooser, pools, clock} = this.#dependencies;
		const age = clock.now() - this.#startedAt;
		const isCallCancelled = this.#options.cancellation.isCancelled;
		const isLost = result.kind === 'unsent' || result.kind === 'unanswered' || result.kind === 'cut';
		const isInconclusive = isCallCancelled || this.#isSuperseded;
		const load = 'headers' in result ? Number(result.headers[meshHeaders.load]) : undefined;
		const isFailure = isLost && !this.#isNotReceived;
		chooser.recordEnd(this.member, isFailure && isInconclusive && !this.#isSuspect ? undefined : isFailure, load);
		const isTimeEnough = !isInconclusive || age > unreachableAfterMs;
		if (result.kind === 'unsent' && isTimeEnough && !pools.hasBeenReachable(this.origin, this.#startedAt)) {
			chooser.recordUnreachable(this.member);
		}

		if ('headers' in result) {
			this.#checkTransit(result.headers, age);
			this.#recordResponse(result.headers);
			chooser.recordAcceptance(this.member, readAcceptance(result.headers));
			const capacity = result.headers[meshHeaders.capacity];
			if (capacity !== undefined) {
				chooser.recordCapacity(this.member, String(this.#options.headers[meshHeaders.route]), capacity);
			}
		}

		if (result.kind === 'unanswered' && isCallCancelled && age > this.#options.timeLeft - timerToleranceMs) {
			pools.closeIfUnresponsive(this.origin, this.#startedAt);
		}
	}
}

function describeOutcome(outcome: ProbeOutcome): string {
	return outcome.kind === 'reported' ? outcome.state : `${outcome.kind} (${outcome.reason})`;
}
