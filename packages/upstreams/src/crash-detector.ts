/** Distinguishes a crash of the upstream from the loss of a single connection. */
import {type Logger} from '@ebonylead/base/logs.js';
import {isConnectionRefused} from './connection-probe.js';
import {type Quarantine, type Suspect} from './quarantine.js';
import {type LocalUpstream} from './local-upstream.js';

/** A call that was forwarded to the upstream and has not ended. */
export type InFlightCall = {
	/** Computes the fingerprint on demand, as most calls never need it. */
	readonly computeFingerprint: () => string;
};

/** Tracks the calls in flight, and reports them as suspects when the upstream crashes. */
export class CrashDetector {
	readonly #localUpstream: LocalUpstream;
	readonly #quarantine: Quarantine;
	readonly #onSuspects: (suspects: readonly Suspect[]) => void;
	readonly #log: Logger;
	readonly #calls = new Set<InFlightCall>();
	#pendingProbe: Promise<boolean> | undefined;

	/**
	 * @param onSuspects Called with the suspects to announce to other nodes.
	 */
	constructor(localUpstream: LocalUpstream, quarantine: Quarantine, log: Logger, onSuspects: (suspects: readonly Suspect[]) => void) {
		this.#localUpstream = localUpstream;
		this.#quarantine = quarantine;
		this.#log = log;
		this.#onSuspects = onSuspects;
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
	 * connection, it has crashed, and all calls in flight become suspects.
	 *
	 * @returns Whether the upstream crashed.
	 */
	async handleLostConnection(): Promise<boolean> {
		// All calls in flight lose their connections in a crash; they share one probe and its result.
		this.#pendingProbe ??= this.#probe();
		return this.#pendingProbe;
	}

	async #probe(): Promise<boolean> {
		const calls = [...this.#calls];
		const hasCrashed = await isConnectionRefused(this.#localUpstream.origin);
		this.#pendingProbe = undefined;
		if (!hasCrashed) {
			return false;
		}

		const suspects = this.#quarantine.recordCrash(calls.map(call => call.computeFingerprint()));
		this.#log.warn(`The upstream crashed with ${calls.length} calls in flight; suspects: ${suspects.map(suspect => suspect.fingerprint).slice(0, 5).join(', ')}`);
		this.#localUpstream.handleConnectionRefused();
		this.#onSuspects(suspects);
		return true;
	}
}
