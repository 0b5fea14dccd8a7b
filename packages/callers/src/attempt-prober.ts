/** Asks sidecars about attempts that they are silent on. */
import {type Clock} from '@ebonylead/base/base.js';
import {maxProbedAttempts} from '@ebonylead/upstreams/attempt-probe.js';
import {type ProbeOutcome} from './attempt-verdict.js';

/** Pause in milliseconds between two probes of one sidecar. */
const probePauseMs = 300;

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

/** Probes each sidecar with silent attempts, with one request at a time for all of them. */
export class AttemptProber {
	readonly #probe: AttemptProbe;
	readonly #clock: Clock;

	/** Silent attempts by the origin of their sidecar, in the order in which they are probed. */
	readonly #silent = new Map<string, Set<SilentAttempt>>();

	constructor(probe: AttemptProbe, clock: Clock) {
		this.#probe = probe;
		this.#clock = clock;
	}

	/** Adds an attempt whose sidecar became silent. */
	add(attempt: SilentAttempt): void {
		const attempts = this.#silent.get(attempt.origin);
		if (attempts) {
			attempts.add(attempt);
			return;
		}

		const added = new Set([attempt]);
		this.#silent.set(attempt.origin, added);
		void this.#probeOrigin(attempt.origin, added);
	}

	/** Removes an attempt that made progress or ended. */
	remove(attempt: SilentAttempt): void {
		this.#silent.get(attempt.origin)?.delete(attempt);
	}

	async #probeOrigin(origin: string, attempts: Set<SilentAttempt>): Promise<void> {
		while (attempts.size > 0) {
			const probed = [...attempts].slice(0, maxProbedAttempts);
			const outcomes = await this.#probe.send(origin, probed.map(({id}) => id));
			for (const [index, attempt] of probed.entries()) {
				// Others may be ahead of it in the next probe.
				if (attempts.delete(attempt)) {
					attempts.add(attempt);
					attempt.handleProbe(outcomes[index]!);
				}
			}

			await this.#clock.sleep(probePauseMs);
		}

		this.#silent.delete(origin);
	}
}
