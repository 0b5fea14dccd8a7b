/** Tracks requests that were in flight when an upstream crashed. */
import {type Clock} from '@ebonylead/base/base.js';

/** A suspect request, in the form in which nodes exchange it. */
export type Suspect = {
	readonly fingerprint: string;

	/** Number of upstream crashes at which the request was in flight. */
	readonly crashes: number;
};

/** Whether a request runs normally (`clear`), runs while no other call does (`suspect`), or is refused (`quarantined`). */
export type QuarantineStatus = 'clear' | 'suspect' | 'quarantined';

/** Number of crashes from which on a request is refused. */
const quarantineCrashCount = 2;

/** Time in milliseconds after its last change at which a suspect expires. */
export const quarantineDurationMs = 10 * 60 * 1000;

/** Maximum number of suspects; the oldest are removed first. */
const maxSuspects = 10_000;

type SuspectEntry = {
	readonly crashes: number;
	readonly changedAt: number;
};

/** The suspects known in the fleet, each with the highest crash count that was recorded or reported. */
export class Quarantine {
	readonly #entries = new Map<string, SuspectEntry>();
	readonly #clock: Clock;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Whether there is no suspect, as most of the time, so that no fingerprint has to be computed. */
	get isEmpty(): boolean {
		return this.#entries.size === 0;
	}

	/** Fingerprints of the quarantined requests. */
	get quarantined(): string[] {
		return [...this.#entries].filter(([, entry]) => entry.crashes >= quarantineCrashCount).map(([fingerprint]) => fingerprint);
	}

	/** Returns the number of upstream crashes at which a request was in flight. */
	countCrashes(fingerprint: string): number {
		return this.#entries.get(fingerprint)?.crashes ?? 0;
	}

	/** Returns the status of a request, and removes its entry if it has expired. */
	getStatus(fingerprint: string): QuarantineStatus {
		const entry = this.#entries.get(fingerprint);
		if (entry === undefined) {
			return 'clear';
		}

		if (this.#clock.now() - entry.changedAt > quarantineDurationMs) {
			this.#entries.delete(fingerprint);
			return 'clear';
		}

		return entry.crashes >= quarantineCrashCount ? 'quarantined' : 'suspect';
	}

	/**
	 * Records that an upstream crashed while requests were in flight.
	 *
	 * @returns The suspects to announce to other nodes.
	 */
	recordCrash(fingerprints: readonly string[]): Suspect[] {
		const suspects = [...new Set(fingerprints)].map(fingerprint => ({fingerprint, crashes: (this.#entries.get(fingerprint)?.crashes ?? 0) + 1}));
		this.merge(suspects);
		return suspects;
	}

	/** Clears a suspect that ran alone without a crash; a quarantined request stays quarantined. */
	recordSuccess(fingerprint: string): void {
		if (this.getStatus(fingerprint) === 'suspect') {
			this.#entries.delete(fingerprint);
		}
	}

	/**
	 * Merges suspects that another node reported.
	 *
	 * @returns The suspects that were new, or whose crash count was raised.
	 */
	merge(suspects: readonly Suspect[]): Suspect[] {
		const raised = suspects.filter(suspect => suspect.crashes > (this.#entries.get(suspect.fingerprint)?.crashes ?? 0));
		for (const {fingerprint, crashes} of raised) {
			this.#entries.delete(fingerprint);
			this.#entries.set(fingerprint, {crashes, changedAt: this.#clock.now()});
		}

		this.#removeOldest();
		return raised;
	}

	#removeOldest(): void {
		for (const fingerprint of this.#entries.keys()) {
			if (this.#entries.size <= maxSuspects) {
				return;
			}

			this.#entries.delete(fingerprint);
		}
	}
}
