/** Bounds retries to a share of the calls, so that they can't multiply a failure. */

/** Retries for each first try. */
const defaultRatio = 0.1;

/** Retries that a quiet service may save up. */
const defaultReserve = 10;

/** One budget for each service. */
export class RetryBudget {
	readonly #ratio: number;
	readonly #getReserve: () => number;
	readonly #tokens = new Map<string, number>();

	/**
	 * @param ratio Retries that each first try earns.
	 * @param getReserve Returns the most retries that may be saved up; it may depend on the size of the fleet.
	 */
	constructor(ratio = defaultRatio, getReserve = () => defaultReserve) {
		this.#ratio = ratio;
		this.#getReserve = getReserve;
	}

	/** Notes a first try: it earns a part of a retry. */
	recordCall(service: string): void {
		const reserve = this.#getReserve();
		const tokens = this.#tokens.get(service) ?? reserve;
		this.#tokens.set(service, Math.min(reserve, tokens + this.#ratio));
	}

	/** Takes one retry from the budget, if there is one. */
	takeRetry(service: string): boolean {
		const tokens = this.#tokens.get(service) ?? this.#getReserve();
		if (tokens < 1) {
			return false;
		}

		this.#tokens.set(service, tokens - 1);
		return true;
	}
}
