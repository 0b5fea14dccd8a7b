/** Asks sidecars about attempts that they are silent on. */
import {type Clock} from '@ebonylead/base/base.js';
import {attemptStates, maxProbedAttempts} from '@ebonylead/upstreams/attempt-probe.js';
import {type ProbeOutcome} from './attempt-verdict.js';

/** Pause in milliseconds between two probes of one sidecar. */
const probePauseMs = 300;

/** Longest pause in milliseconds between two probes of an attempt; it doubles from `probePauseMs` with each report that the sidecar has the call. */
const maxAttemptPauseMs = 1200;

/** Sends one probe; each implementation has its own transport. */
export type AttemptProbe = {
	/** Asks a sidecar about attempts, and returns an outcome for each in their order. The promise is never rejected. */
	send(origin: string, ids: readonly string[]): Promise<readonly ProbeOutcome[]>;
};

/** An attempt whose sidecar is silent. */
export type SilentAttempt = {
	readonly id: string;

	/** Origin of the sidecar. */
	readonly origin: string;

	/** Handles what a probe learned of the attempt. */
	handleProbe(outcome: ProbeOutcome): void;
};

type NextProbe = {
	/** Monotonic time in milliseconds. */
	readonly at: number;

	/** Pause in milliseconds after it. */
	readonly pause: number;
};

/** Probes each sidecar with silent attempts, with one request at a time for all of them. */
export class AttemptProber {
	readonly #probe: AttemptProbe;
	readonly #clock: Clock;

	/** Silent attempts by the origin of their sidecar, each with its next probe, in the order in which they are probed. */
	readonly #silent = new Map<string, Map<SilentAttempt, NextProbe>>();

	constructor(probe: AttemptProbe, clock: Clock) {
		this.#probe = probe;
		this.#clock = clock;
	}

	/** Adds an attempt whose sidecar became silent. */
	add(attempt: SilentAttempt): void {
		const attempts = this.#silent.get(attempt.origin);
		const next: NextProbe = {at: this.#clock.now(), pause: probePauseMs};
		if (attempts) {
			attempts.set(attempt, next);
			return;
		}

		const added = new Map([[attempt, next]]);
		this.#silent.set(attempt.origin, added);
		void this.#probeOrigin(attempt.origin, added);
	}

	/** Removes an attempt that made progress or ended. */
	remove(attempt: SilentAttempt): void {
		this.#silent.get(attempt.origin)?.delete(attempt);
	}

	async #probeOrigin(origin: string, attempts: Map<SilentAttempt, NextProbe>): Promise<void> {
		while (attempts.size > 0) {
			const now = this.#clock.now();
			const due = [...attempts].filter(([, {at}]) => at <= now).slice(0, maxProbedAttempts);
			if (due.length > 0) {
				await this.#probeAttempts(origin, attempts, due);
			}

			await this.#clock.sleep(probePauseMs);
		}

		this.#silent.delete(origin);
	}

	async #probeAttempts(origin: string, attempts: Map<SilentAttempt, NextProbe>, due: ReadonlyArray<[SilentAttempt, NextProbe]>): Promise<void> {
		const outcomes = await this.#probe.send(origin, due.map(([{id}]) => id));
		const now = this.#clock.now();
		for (const [index, [attempt, {pause}]] of due.entries()) {
			// An attempt that ended meanwhile is no longer there. The others go to the end, so that each has its turn.
			if (attempts.delete(attempt)) {
				const outcome = outcomes[index]!;
				const isHeld = outcome.kind === 'reported' && (outcome.state === attemptStates.queued || outcome.state === attemptStates.running);
				attempts.set(attempt, {at: now + (isHeld ? pause : probePauseMs), pause: isHeld ? Math.min(maxAttemptPauseMs, pause * 2) : probePauseMs});
				attempt.handleProbe(outcome);
			}
		}
	}
}
