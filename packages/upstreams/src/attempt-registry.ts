/** What a sidecar knows of the attempts that entry nodes sent to it. */
import {type Clock} from '@ebonylead/base/base.js';
import {attemptStates, type AttemptState} from './attempt-probe.js';

/** Time in milliseconds beyond its deadline for which an ended attempt is remembered. */
const endedMarginMs = 2000;

/** Time in milliseconds for which an attempt that was reported as not received is refused; longer than the retransmissions of a closed connection take. */
const refusalDurationMs = 120_000;

/** Maximum number of attempts that are remembered to be refused; beyond it none is reported as not received. */
const maxRefused = 10_000;

/** Maximum number of ended attempts; beyond it they are forgotten, which `knownFor` tells. */
const maxEnded = 20_000;

/** Number of ended attempts between two removals of those that are out of date. */
const endsPerSweep = 256;

/** An attempt in flight at this sidecar. */
export type RegisteredAttempt = {
	/** Sets that the upstream got the call; has no effect after the end. */
	setRunning(): void;

	/** Sets that the response was sent, or its connection was closed. */
	setEnded(): void;
};

/** Remembers attempts in flight and those that ended lately, so that an entry node whose connection is silent can learn what became of its call. */
export class AttemptRegistry {
	readonly #clock: Clock;
	readonly #inFlight = new Map<string, AttemptState>();

	/** Ended attempts, each with the time until which it is remembered. */
	readonly #ended = new Map<string, number>();

	/** Attempts to refuse, each with the time until which it is remembered, in the order of these times. */
	readonly #refused = new Map<string, number>();
	#knownSince: number;
	#endsSinceSweep = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#knownSince = clock.now();
	}

	/** Time in milliseconds back to which every attempt is known that was received here. */
	get knownFor(): number {
		return this.#clock.now() - this.#knownSince;
	}

	/** Forgets the time before; called when this process starts to receive attempts, as an earlier process may have received some on the same port. */
	start(): void {
		this.#knownSince = this.#clock.now();
	}

	/**
	 * Registers an attempt that arrived; returns undefined if it was reported as not received before, so that it must not run.
	 *
	 * @param deadline Time in milliseconds that the attempt has left.
	 */
	register(id: string, deadline: number): RegisteredAttempt | undefined {
		if (this.#refused.has(id)) {
			return undefined;
		}

		const endedUntil = this.#clock.now() + deadline + endedMarginMs;
		this.#inFlight.set(id, attemptStates.queued);
		return {
			setRunning: () => {
				if (this.#inFlight.has(id)) {
					this.#inFlight.set(id, attemptStates.running);
				}
			},
			setEnded: () => {
				this.#recordEnd(id, endedUntil);
			},
		};
	}

	/** Finds the state of an attempt. One that was not received is refused if it arrives later, so that the answer stays true. */
	probe(id: string): AttemptState {
		const state = this.#inFlight.get(id);
		if (state !== undefined) {
			return state;
		}

		return this.#ended.has(id) ? attemptStates.ended : this.#refuse(id);
	}

	#refuse(id: string): AttemptState {
		const now = this.#clock.now();
		for (const [refusedId, until] of this.#refused) {
			if (until > now) {
				break;
			}

			this.#refused.delete(refusedId);
		}

		if (!this.#refused.has(id) && this.#refused.size >= maxRefused) {
			return attemptStates.undecided;
		}

		this.#refused.delete(id);
		this.#refused.set(id, now + refusalDurationMs);
		return attemptStates.notReceived;
	}

	#recordEnd(id: string, until: number): void {
		if (!this.#inFlight.delete(id)) {
			return;
		}

		if (this.#ended.size >= maxEnded) {
			this.#ended.clear();
			this.#knownSince = this.#clock.now();
		}

		this.#ended.set(id, until);
		this.#endsSinceSweep++;
		if (this.#endsSinceSweep >= endsPerSweep) {
			this.#endsSinceSweep = 0;
			this.#removeEnded();
		}
	}

	#removeEnded(): void {
		const now = this.#clock.now();
		for (const [id, until] of this.#ended) {
			if (until <= now) {
				this.#ended.delete(id);
			}
		}
	}
}
