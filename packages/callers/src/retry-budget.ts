/** Bounds retries to a share of the calls, so that they can't multiply a failure. */

/** Retries for each first try. */
const defaultRatio = 0.1;

/** Retries that a quiet service may save up. */
const defaultMaxTokens = 10;

/** One budget for each service. */
export class RetryBudget {
	readonly #ratio: number;
	readonly #getMaxTokens: () => number;
	readonly #tokens = new Map<string, number>();

	/**
	 * @param ratio Retries that each first try earns.
	 * @param getMaxTokens Returns the most retries that may be saved up; it may depend on the size of the fleet.
	 */
	constructor(ratio = defaultRatio, getMaxTokens = () => defaultMaxTokens) {
		this.#ratio = ratio;
		this.#getMaxTokens = getMaxTokens;
	}

	/** Notes a first try: it earns a part of a retry. */
	recordCall(service: string): void {
		const maxTokens = this.#getMaxTokens();
		const tokens = this.#tokens.get(service) ?? maxTokens;
		this.#tokens.set(service, Math.min(maxTokens, tokens + this.#ratio));
	}

	/** Takes one retry from the budget, if there is one. */
	admitRetry(service: string): boolean {
		const tokens = this.#tokens.get(service) ?? this.#getMaxTokens();
		if (tokens < 1) {
			return false;
		}

		this.#tokens.set(service, tokens - 1);
		return true;
	}
}
