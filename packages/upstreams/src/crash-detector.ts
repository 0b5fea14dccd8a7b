/** Tells the death of an upstream from the loss of one connection. */
import {connect} from 'node:net';
import {type Logger} from '@ebonylead/base/logs.js';
import {type Quarantine, type Suspect} from './quarantine.js';
import {type LocalUpstream} from './local-upstream.js';

/** A call on its way at the upstream. */
export type InFlightCall = {
	/** Computes the fingerprint; most calls never need it. */
	readonly computeFingerprint: () => string;
};

const probeTimeoutMs = 200;

/** Follows the calls in flight, and names suspects when the upstream dies. */
export class CrashDetector {
	readonly #localUpstream: LocalUpstream;
	readonly #quarantine: Quarantine;
	readonly #onSuspects: (suspects: readonly Suspect[]) => void;
	readonly #log: Logger;
	readonly #calls = new Set<InFlightCall>();
	#pendingProbe: Promise<boolean> | undefined;

	/**
	 * @param onSuspects Called with the suspects that other nodes should hear of.
	 */
	constructor(localUpstream: LocalUpstream, quarantine: Quarantine, log: Logger, onSuspects: (suspects: readonly Suspect[]) => void) {
		this.#localUpstream = localUpstream;
		this.#quarantine = quarantine;
		this.#log = log;
		this.#onSuspects = onSuspects;
	}

	/** Notes a call that is sent to the upstream. */
	add(call: InFlightCall): void {
		this.#calls.add(call);
	}

	/** Notes that a call ended without harm. */
	remove(call: InFlightCall): void {
		this.#calls.delete(call);
	}

	/**
	 * Handles the loss of a call's connection: if the upstream takes no new one
	 * either, it died, and all calls in flight are suspects.
	 *
	 * @returns Whether the upstream died.
	 */
	async handleLostConnection(): Promise<boolean> {
		// The calls of one death end together; they share one probe and one verdict.
		this.#pendingProbe ??= this.#probe();
		return this.#pendingProbe;
	}

	async #probe(): Promise<boolean> {
		const calls = [...this.#calls];
		const hasCrashed = await this.#isConnectionRefused();
		this.#pendingProbe = undefined;
		if (!hasCrashed) {
			return false;
		}

		const suspects = this.#quarantine.recordCrash(calls.map(call => call.computeFingerprint()));
		this.#log.warn(`The upstream died with ${calls.length} calls in flight; suspects: ${suspects.map(suspect => suspect.fingerprint).slice(0, 5).join(', ')}`);
		this.#localUpstream.handleConnectionRefused();
		this.#onSuspects(suspects);
		return true;
	}

	async #isConnectionRefused(): Promise<boolean> {
		const {hostname, port} = new URL(this.#localUpstream.origin);
		return new Promise(resolve => {
			const socket = connect({host: hostname, port: Number(port), timeout: probeTimeoutMs});
			const finish = (isRefused: boolean) => {
				socket.destroy();
				resolve(isRefused);
			};

			socket.on('connect', () => {
				finish(false);
			});
			socket.on('timeout', () => {
				finish(false);
			});
			socket.on('error', error => {
				finish((error as NodeJS.ErrnoException).code === 'ECONNREFUSED');
			});
		});
	}
}
