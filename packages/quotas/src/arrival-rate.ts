/** Tells when the arrivals of an organisation at a node are significantly above their usual rate. */
import {type Clock} from '@ebonylead/base/base.js';

/** Length of the short window in milliseconds: an organisation with much traffic exceeds its quota within some 200 ms. */
const shortWindowMs = 200;

/** Time constant in milliseconds with which the usual rate follows the arrivals. */
const usualDecayMs = 5000;

/** Standard deviations above the mean, and additional arrivals, from which on a number of arrivals is significant; 0.1 to 0.5 in 100 windows without a change are. */
const significantDeviations = 3;
const significantArrivals = 1.5;

/** Compares arrivals with their usual rate, in a short window and since the last report. */
export class ArrivalRate {
	readonly #clock: Clock;

	/** Usual arrivals per millisecond. */
	#usual: number;
	#reportedAt: number;
	#sinceReport = 0;
	#windowStart: number;
	#inWindow = 0;

	/** @param usual Arrivals per millisecond that are assumed at first. */
	constructor(clock: Clock, usual: number) {
		this.#clock = clock;
		this.#usual = usual;
		this.#reportedAt = clock.now();
		this.#windowStart = clock.now();
	}

	/** Records an arrival, and returns whether there are significantly more than usual. */
	recordArrival(): boolean {
		const now = this.#clock.now();
		if (now - this.#windowStart > shortWindowMs) {
			this.#windowStart = now;
			this.#inWindow = 0;
		}

		this.#inWindow++;
		this.#sinceReport++;
		return isSignificant(this.#inWindow, this.#usual * shortWindowMs) || isSignificant(this.#sinceReport, this.#usual * Math.max(shortWindowMs, now - this.#reportedAt));
	}

	/** Starts to count for the next report, and lets the usual rate follow the arrivals since the one before. */
	recordReport(): void {
		const now = this.#clock.now();
		const elapsed = now - this.#reportedAt;
		if (elapsed > 0) {
			const kept = Math.exp(-elapsed / usualDecayMs);
			this.#usual = (this.#usual * kept) + (this.#sinceReport / elapsed * (1 - kept));
		}

		this.#reportedAt = now;
		this.#sinceReport = 0;
		this.#windowStart = now;
		this.#inWindow = 0;
	}
}

function isSignificant(count: number, mean: number): boolean {
	return count > mean + (significantDeviations * Math.sqrt(mean)) + significantArrivals;
}
