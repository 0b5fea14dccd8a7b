/** Token bucket of one organisation at the quota home, and the share of its arrivals that the tokens allow. */
import {type Clock} from '@ebonylead/base/base.js';
import {
	computeAllowance, millisecondsPerSecond, type Quota, type QuotaBounds,
} from './quotas.js';

/** Time in seconds within which known demand must exhaust the tokens for the organisation to be limited: the time that limits need to reach the nodes. */
const horizonSeconds = 0.15;

/** Time in seconds in which tokens are used up, or a debt is paid back, while the organisation is limited. */
const settlingSeconds = 1;

/**
 * Parts of the allowance by which the tokens may fall below zero before the organisation is limited, as reports shift its requests by up to a second. A part of
 * the slack matters most for small organisations, whose requests bunch by chance.
 */
const reservedOver = 0.2;
const reservedSlack = 0.4;

/** Demand as a share of the rate below which a debt within the reserve needs no limit. */
const settledDemand = 0.9;

/** Mean time in milliseconds from an admission to its report: a new home adds no tokens for it, as it hears of the admissions only later. */
const reportLagMs = 500;

/** Minimum and maximum of the retry delay in milliseconds. */
const minRetryAfterMs = 1000;
const maxRetryAfterMs = 5000;

/** Tokens of one organisation: reported admissions take them, also below zero. */
export class QuotaBucket {
	readonly #clock: Clock;
	readonly #bounds: QuotaBounds;
	#quota: Quota;
	#tokens = 0;
	#refilledAt: number;

	/** Part of the quota that this home allocates. */
	#part = 1;

	/** Arrivals per second at all reporters. */
	#demand = 0;
	#isLimited = false;

	constructor(clock: Clock, bounds: QuotaBounds, quota: Quota) {
		this.#clock = clock;
		this.#bounds = bounds;
		this.#quota = quota;
		this.#refilledAt = clock.now();
	}

	/** Sets the quota. */
	setQuota(quota: Quota): void {
		this.refill(this.#part);
		this.#quota = quota;
	}

	/** Starts again without tokens and demand, as a home that has had no reporter knows nothing of the requests before. */
	reset(): void {
		this.#tokens = 0;
		this.#demand = 0;
		this.#isLimited = false;
		this.#refilledAt = this.#clock.now() + reportLagMs;
	}

	/** Adds the tokens of the time since the last call, for the part of the quota that this home allocates. */
	refill(part: number): void {
		const now = this.#clock.now();
		const {rate, burst} = this.#quota;
		this.#part = part;
		if (now < this.#refilledAt) {
			return;
		}

		this.#tokens = Math.min(burst * part, this.#tokens + (rate * part * (now - this.#refilledAt) / millisecondsPerSecond));
		this.#refilledAt = now;
	}

	/** Keeps the organisation limited, as it was with the home before. */
	keepLimit(): void {
		this.#isLimited = true;
	}

	/**
	 * Takes tokens for reported admissions, updates the demand, and returns whether the organisation became limited.
	 *
	 * @param isComplete Whether the home has heard of all nodes. Until then it does not count the admissions of the time before as a debt.
	 */
	record(admitted: number, rateChange: number, isComplete: boolean): boolean {
		const {window} = this.#bounds;
		const wasLimited = this.#isLimited;
		const minTokens = isComplete || wasLimited ? -this.#quota.rate * window / millisecondsPerSecond : 0;
		this.#tokens = Math.max(minTokens, this.#tokens - admitted);
		this.#demand = Math.max(0, this.#demand + rateChange);
		this.#isLimited = wasLimited ? !this.#isSettled() : this.#isExhaustedSoon();
		return this.#isLimited && !wasLimited;
	}

	/** Computes the share of the arrivals that is admitted; 1 if the organisation is not limited. */
	computeShare(): number {
		return this.#isLimited ? Math.max(0, Math.min(1, this.#computeAllowedShare())) : 1;
	}

	/** Computes the time in milliseconds until the debt is paid back. */
	computeRetryAfter(): number {
		const debtMs = Math.max(0, -this.#tokens) / Math.max(1, this.#quota.rate * this.#part) * millisecondsPerSecond;
		return Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, debtMs)));
	}

	#computeAllowedShare(): number {
		return ((this.#quota.rate * this.#part) + (this.#tokens / settlingSeconds)) / this.#demand;
	}

	/** Whether known demand exhausts the tokens and the reserve soon. Demand below the rate pays a debt back by itself. */
	#isExhaustedSoon(): boolean {
		return this.#demand > (this.#quota.rate * this.#part) + (Math.max(0, this.#tokens + this.#reserve) / horizonSeconds);
	}

	/** Whether a limited organisation needs no limit any more. */
	#isSettled(): boolean {
		return this.#computeAllowedShare() >= 1 || (this.#demand < settledDemand * this.#quota.rate * this.#part && this.#tokens >= -this.#reserve);
	}

	get #reserve(): number {
		const {slack} = this.#bounds;
		return this.#part * ((reservedOver * (computeAllowance(this.#quota, this.#bounds) - slack)) + (reservedSlack * slack));
	}
}
