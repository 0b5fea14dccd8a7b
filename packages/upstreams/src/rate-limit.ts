/** Bounds the requests per second that an upstream gets. */
import {type Clock} from '@ebonylead/base/base.js';

const millisecondsPerSecond = 1000;

/** Maximum number of tokens that accumulate while no call starts. */
const maxTokens = 2;

/**
 * Minimum rate in requests per second. An upstream whose limit is lower still
 * gets a call now and then, as only a response tells when its limit ends.
 */
const minRate = 0.5;

/**
 * A token bucket. Any span of time contains at most its length times the rate,
 * plus two calls, whatever happened before.
 */
export class RateLimit {
	readonly #clock: Clock;
	#rate: number | undefined;
	#tokens = 0;
	#updatedAt = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Requests per second; undefined if there is no limit. */
	get rate(): number | undefined {
		return this.#rate;
	}

	/** Sets the limit in requests per second, or removes it. A new limit starts without tokens. */
	setRate(rate: number | undefined): void {
		this.#refill();
		if (this.#rate === undefined) {
			this.#tokens = 0;
		}

		this.#rate = rate === undefined ? undefined : Math.max(minRate, rate);
	}

	/**
	 * Computes the milliseconds until a call may start; 0 if it may start now.
	 *
	 * @param callsAhead Number of calls that start before it.
	 */
	computeWait(callsAhead = 0): number {
		if (this.#rate === undefined) {
			return 0;
		}

		this.#refill();
		return Math.max(0, callsAhead + 1 - this.#tokens) * millisecondsPerSecond / this.#rate;
	}

	/** Records that a call starts. */
	recordStart(): void {
		this.#refill();
		this.#tokens--;
	}

	/** Adds the tokens of the time since the last change. */
	#refill(): void {
		const now = this.#clock.now();
		if (this.#rate !== undefined) {
			this.#tokens = Math.min(maxTokens, this.#tokens + ((now - this.#updatedAt) * this.#rate / millisecondsPerSecond));
		}

		this.#updatedAt = now;
	}
}
