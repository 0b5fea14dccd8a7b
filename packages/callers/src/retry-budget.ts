/** Bounds retries to a share of the calls, so that they can't multiply a failure. */

/** Retries for each first try. */
const defaultRatio = 0.1;

/** Retries that a quiet service may save up. */
const defaultReserve = 10;

/** One budget for each service. */
export class RetryBudget {
	readonly #ratio: number;
	readonly #reserve: number;
	readonly #tokens = new Map<string, number>();

	constructor(ratio = defaultRatio, reserve = defaultReserve) {
		this.#ratio = ratio;
		this.#reserve = reserve;
	}

	/** Notes a first try: it earns a part of a retry. */
	recordCall(service: string): void {
		const tokens = this.#tokens.get(service) ?? this.#reserve;
		this.#tokens.set(service, Math.min(this.#reserve, tokens + this.#ratio));
	}

	/** Takes one retry from the budget, if there is one. */
	takeRetry(service: string): boolean {
		const tokens = this.#tokens.get(service) ?? this.#reserve;
		if (tokens < 1) {
			return false;
		}

		this.#tokens.set(service, tokens - 1);
		return true;
	}
}
