/** Remembers requests that were in flight when an upstream died. */
import {type Clock} from '@ebonylead/base/base.js';

/** A request under suspicion, as nodes tell each other. */
export type Suspect = {
	readonly fingerprint: string;

	/** Upstreams that died while it was in flight. */
	readonly crashes: number;
};

/** What is done with a request. */
export type QuarantineStatus = 'clear' | 'suspect' | 'quarantined';

/** Deaths after which a request runs no more. */
const quarantineCrashCount = 2;

/** Time in milliseconds after which a suspicion ends by age. */
export const quarantineDurationMs = 10 * 60 * 1000;

/** Most requests that are remembered; the oldest gives way. */
const maxSuspects = 10_000;

type SuspectEntry = {
	readonly crashes: number;
	readonly changedAt: number;
};

/** Holds the suspects of the fleet; the highest count of deaths that anybody reports stands. */
export class Quarantine {
	readonly #entries = new Map<string, SuspectEntry>();
	readonly #clock: Clock;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Whether there is any suspect; most of the time there is none, and no fingerprint has to be computed. */
	get isEmpty(): boolean {
		return this.#entries.size === 0;
	}

	/** Fingerprints of the requests that run no more. */
	get quarantined(): string[] {
		return [...this.#entries].filter(([, entry]) => entry.crashes >= quarantineCrashCount).map(([fingerprint]) => fingerprint);
	}

	/** Returns the deaths that a request was in flight at. */
	countCrashes(fingerprint: string): number {
		return this.#entries.get(fingerprint)?.crashes ?? 0;
	}

	/** Says what is to be done with a request. */
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
	 * Notes that an upstream died while requests were in flight.
	 *
	 * @returns The suspects that other nodes should hear of.
	 */
	recordCrash(fingerprints: readonly string[]): Suspect[] {
		const suspects = [...new Set(fingerprints)].map(fingerprint => ({fingerprint, crashes: (this.#entries.get(fingerprint)?.crashes ?? 0) + 1}));
		this.merge(suspects);
		return suspects;
	}

	/** Clears a suspect that ran alone and did no harm; one that is quarantined stays so. */
	recordSuccess(fingerprint: string): void {
		if (this.getStatus(fingerprint) === 'suspect') {
			this.#entries.delete(fingerprint);
		}
	}

	/**
	 * Takes over what another node found.
	 *
	 * @returns The suspects that were new here.
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
