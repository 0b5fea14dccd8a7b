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

	/** Key of the upstream process that it was sent to. */
	readonly incarnation: string;

	/** Computes the fingerprint on demand, as most calls never need it. */
	readonly computeFingerprint: () => string;
};

/** Calls in flight when the connection of one of them was lost, though the upstream took new connections. */
type UnexplainedLoss = {
	readonly incarnation: string;

	/** Monotonic time in milliseconds. */
	readonly lostAt: number;

	/** Generations of the requests, by their fingerprints. */
	readonly runs: ReadonlyMap<string, number>;
};

/** Time in milliseconds within which the next process of an upstream must be announced if the loss of a connection was the end of the one before: two announcements. */
const replacementWindowMs = 3000;

/** Maximum number of fingerprints in a log line. */
const maxLoggedFingerprints = 5;

/**
 * Tracks the calls in flight, and records them in the quarantine when the upstream crashes.
 *
 * A lost connection alone is no crash: an upstream that is full resets connections, and so does the
 * network. It is one if the upstream process has ended: its port refuses connections, or another
 * process is announced in its place, also where that one took the port over at once.
 */
export class CrashDetector {
	readonly #localUpstream: LocalUpstream;
	readonly #quarantine: Quarantine;
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #calls = new Set<InFlightCall>();
	#pendingProbe: Promise<boolean> | undefined;
	#unexplainedLoss: UnexplainedLoss | undefined;

	constructor(localUpstream: LocalUpstream, quarantine: Quarantine, clock: Clock, log: Logger) {
		this.#localUpstream = localUpstream;
		this.#quarantine = quarantine;
		this.#clock = clock;
		this.#log = log;
		localUpstream.onReplaced = incarnation => {
			this.#handleReplacement(incarnation);
		};
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
	 * Handles the loss of a call's connection: if the upstream process has ended and was not leaving, it has crashed.
	 *
	 * @returns Whether the upstream crashed, as far as it is known now.
	 */
	async handleLostConnection(call: InFlightCall): Promise<boolean> {
		if (call.incarnation !== this.#localUpstream.incarnation) {
			return this.#recordEnd(call.incarnation, this.#listRuns(call.incarnation), 'another process was announced');
		}

		// All calls in flight lose their connections in a crash; they share one probe and its result.
		this.#pendingProbe ??= this.#probe();
		return this.#pendingProbe;
	}

	async #probe(): Promise<boolean> {
		const {origin, incarnation} = this.#localUpstream;
		const runs = this.#listRuns(incarnation);
		const hasEnded = await isConnectionRefused(origin);
		this.#pendingProbe = undefined;
		if (!hasEnded) {
			this.#addUnexplainedLoss(incarnation, runs);
			return false;
		}

		const hasCrashed = this.#recordEnd(incarnation, runs, 'its port refuses connections');
		this.#localUpstream.handleConnectionRefused();
		return hasCrashed;
	}

	/** Keeps the calls in flight at a loss until it is known whether the process has ended. */
	#addUnexplainedLoss(incarnation: string, runs: ReadonlyMap<string, number>): void {
		const now = this.#clock.now();
		const before = this.#unexplainedLoss;
		const isSameEvent = before?.incarnation === incarnation && now - before.lostAt <= replacementWindowMs;
		this.#unexplainedLoss = {incarnation, lostAt: now, runs: isSameEvent ? new Map([...before.runs, ...runs]) : runs};
		if (incarnation !== this.#localUpstream.incarnation) {
			this.#handleReplacement(incarnation);
		}
	}

	/** Handles that another process was announced in the place of one. */
	#handleReplacement(incarnation: string): void {
		const loss = this.#unexplainedLoss;
		this.#unexplainedLoss = undefined;
		if (loss?.incarnation === incarnation && this.#clock.now() - loss.lostAt <= replacementWindowMs) {
			this.#recordEnd(incarnation, loss.runs, 'another process was announced');
		}
	}

	/** Records the end of a process with calls in flight; returns whether it was a crash. */
	#recordEnd(incarnation: string, runs: ReadonlyMap<string, number>, evidence: string): boolean {
		if (this.#localUpstream.hasProcessLeft(incarnation)) {
			return false;
		}

		// Without an identity of the upstream process, the time tells two crashes apart.
		const crash = computeKey(`${this.#localUpstream.origin} ${incarnation === '' ? this.#clock.wallTime() : incarnation}`);
		this.#log.warn({
			incarnation, crash, evidence, inFlight: runs.size, fingerprints: [...runs.keys()].slice(0, maxLoggedFingerprints),
		}, 'The upstream crashed');
		this.#quarantine.recordCrash(crash, runs);
		return true;
	}

	/** Lists the generation of each request in flight at a process; of equal ones the last one started may be the cause. */
	#listRuns(ended: string): ReadonlyMap<string, number> {
		const runs = new Map<string, number>();
		for (const {generation, incarnation, computeFingerprint} of this.#calls) {
			if (incarnation !== ended) {
				continue;
			}

			const fingerprint = computeFingerprint();
			runs.set(fingerprint, Math.max(runs.get(fingerprint) ?? 0, generation));
		}

		return runs;
	}
}
