/** Measures which share of its requests the local upstream accepts. */
import {type Clock} from '@ebonylead/base/base.js';

/** Weight of a request in the moving average. */
const requestWeight = 0.1;

/** Half-life in milliseconds with which the share approaches 1: an upstream that gets few requests is to be tried again. */
const halfLifeMs = 4000;

/**
 * Moving average over the requests that were sent to the upstream. A refused request takes a slot
 * for a moment only, so that neither the load nor the durations of calls show that the upstream refuses.
 */
export class Acceptance {
	readonly #clock: Clock;
	#share = 1;
	#recordedAt = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Share of the requests that the upstream accepts, between 0 and 1. */
	get share(): number {
		return computeFadedShare(this.#share, this.#clock.now() - this.#recordedAt, halfLifeMs);
	}

	/** Records whether the upstream accepted a request. */
	record(isAccepted: boolean): void {
		const {share} = this;
		this.#share = share + ((Number(isAccepted) - share) * requestWeight);
		this.#recordedAt = this.#clock.now();
	}
}

/** Computes what a share counts as that was measured an age ago: it approaches 1 with a half-life; both in milliseconds. */
export function computeFadedShare(share: number, age: number, halfLife: number): number {
	return 1 - ((1 - share) * (0.5 ** (age / halfLife)));
}
