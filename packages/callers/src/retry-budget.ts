/** Limits retries to a share of the calls, so that retries don't amplify an outage. */

/** Default number of tokens that each call adds. */
const defaultRatio = 0.1;

/** Default size of the bucket: the maximum number of retries at once after a time without any. */
const defaultMaxTokens = 10;

/** Keeps a token bucket for each service: a call adds a part of a token, and a retry takes a whole one. */
export class RetryBudget {
	readonly #ratio: number;
	readonly #getMaxTokens: () => number;
	readonly #tokens = new Map<string, number>();

	/**
	 * @param ratio Tokens that each call adds.
	 * @param getMaxTokens Returns the size of the bucket; it may change with the size of the fleet.
	 */
	constructor(ratio = defaultRatio, getMaxTokens = () => defaultMaxTokens) {
		this.#ratio = ratio;
		this.#getMaxTokens = getMaxTokens;
	}

	/** Records a call, which adds `ratio` tokens to the bucket of its service. */
	recordCall(service: string): void {
		const maxTokens = this.#getMaxTokens();
		const tokens = this.#tokens.get(service) ?? maxTokens;
		this.#tokens.set(service, Math.min(maxTokens, tokens + this.#ratio));
	}

	/** Takes a token for a retry, and returns whether there was one. */
	admitRetry(service: string): boolean {
		const tokens = this.#tokens.get(service) ?? this.#getMaxTokens();
		if (tokens < 1) {
			return false;
		}

		this.#tokens.set(service, tokens - 1);
		return true;
	}
}
