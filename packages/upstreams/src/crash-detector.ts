/** Distinguishes a crash of the upstream from the loss of a single connection. */
import {type Clock} from '@ebonylead/base/base.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {isConnectionRefused} from './connection-probe.js';
import {computeKey} from './fingerprint.js';
import {type LocalUpstream} from './local-upstream.js';
import {type Quarantine} from './quarantine.js';

/** A call that was forwarded to the upstream and has not ended. */
export type InFlightCall = {
	/** Generation of a crash that it causes. */
	readonly generation: number;

	/** Computes the fingerprint on demand, as most calls never need it. */
	readonly computeFingerprint: () => string;
};

/** Maximum number of fingerprints in a log line. */
const maxLoggedFingerprints = 5;

/** Tracks the calls in flight, and records them in the quarantine when the upstream crashes. */
export class CrashDetector {
	readonly #localUpstream: LocalUpstream;
	readonly #quarantine: Quarantine;
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #calls = new Set<InFlightCall>();
	#pendingProbe: Promise<boolean> | undefined;

	constructor(localUpstream: LocalUpstream, quarantine: Quarantine, clock: Clock, log: Logger) {
		this.#localUpstream = localUpstream;
		this.#quarantine = quarantine;
		this.#clock = clock;
		this.#log = log;
	}

	/** Adds a call that is about to be sent to the upstream. */
	add(call: InFlightCall): void {
		this.#calls.add(call);
	}

	/** Removes a call that has ended. */
	remove(call: InFlightCall): void {
		this.#calls.delete(call);
	}

	/**
	 * Handles the loss of a call's connection: if the upstream refuses a new
	 * connection, it has ended, and unless it was leaving, it has crashed.
	 *
	 * @returns Whether the upstream crashed.
	 */
	async handleLostConnection(): Promise<boolean> {
		// All calls in flight lose their connections in a crash; they share one probe and its result.
		this.#pendingProbe ??= this.#probe();
		return this.#pendingProbe;
	}

	async #probe(): Promise<boolean> {
		const {origin, incarnation, hasLeft} = this.#localUpstream;
		const runs = this.#listRuns();
		const hasEnded = await isConnectionRefused(origin);
		this.#pendingProbe = undefined;
		if (!hasEnded) {
			return false;
		}

		if (!hasLeft) {
			// Without an identity of the upstream process, the time tells two crashes apart.
			const crash = computeKey(`${origin} ${incarnation === '' ? this.#clock.wallTime() : incarnation}`);
			this.#log.warn({
				instance: this.#localUpstream.instance, crash, inFlight: runs.size, fingerprints: [...runs.keys()].slice(0, maxLoggedFingerprints),
			}, 'The upstream crashed');
			this.#quarantine.recordCrash(crash, runs);
		}

		this.#localUpstream.handleConnectionRefused();
		return !hasLeft;
	}

	/** Lists the generation of each request in flight; of equal ones the last one started may be the cause. */
	#listRuns(): ReadonlyMap<string, number> {
		const runs = new Map<string, number>();
		for (const {generation, computeFingerprint} of this.#calls) {
			const fingerprint = computeFingerprint();
			runs.set(fingerprint, Math.max(runs.get(fingerprint) ?? 0, generation));
		}

		return runs;
	}
}
