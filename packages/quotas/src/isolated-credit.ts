/** The part of a quota that a node uses without a home. */
import {type Clock, type Random} from '@ebonylead/base/base.js';
import {millisecondsPerSecond} from './quotas.js';

/** Time in milliseconds of the rate that is kept for later arrivals if the burst is less. */
const keptRateMs = 1000;

/**
 * Token bucket that mostly holds parts of a token. A request is admitted from a
 * random part of a token on, so that the expected number over many nodes is the
 * number of tokens spent, as for the retry budget (docs/DESIGN.md).
 */
export class IsolatedCredit {
	readonly #clock: Clock;
	readonly #random: Random;
	#tokens = 0;

	/** Tokens spent on requests that were refused; they count for the next one. */
	#staked = 0;
	#threshold: number;
	#updatedAt: number;

	constructor(clock: Clock, random: Random) {
		this.#clock = clock;
		this.#random = random;
		this.#threshold = 1 - random.next();
		this.#updatedAt = clock.now() - keptRateMs;
	}

	/** Takes a token, and returns whether there was one. The rate is in requests per second. */
	admit(rate: number, burst: number): boolean {
		const now = this.#clock.now();
		const cap = Math.max(burst, rate * keptRateMs / millisecondsPerSecond);
		this.#tokens = Math.min(cap, this.#tokens + ((now - this.#updatedAt) * rate / millisecondsPerSecond));
		this.#updatedAt = now;
		if (this.#tokens + this.#staked < this.#threshold) {
			this.#staked += Math.max(0, this.#tokens);
			this.#tokens = Math.min(0, this.#tokens);
			return false;
		}

		this.#tokens -= 1 - this.#staked;
		this.#staked = 0;
		this.#threshold = 1 - this.#random.next();
		return true;
	}
}
