/** Sequential tests of whether more runs are bad than a baseline explains. */

/** Additional shares of bad runs that are tested for: small enough for faults that show only under load, and about that of the mildest bad versions. */
const additionalShares = [0.08, 0.3] as const;

/**
 * Likelihood ratio of "additional runs are bad" against "no more are bad than by
 * the baseline", as a mixture of the additional shares. While the latter holds,
 * it exceeds a bound b at any time with a probability of at most 1/b, however
 * often it is looked at (Ville's inequality for non-negative supermartingales).
 */
export class LikelihoodRatio {
	readonly #logs: number[] = additionalShares.map(() => 0);

	/** Natural logarithm of the ratio. */
	get log(): number {
		const max = Math.max(...this.#logs);
		const sum = this.#logs.reduce((total, log) => total + Math.exp(log - max), 0);
		return max + Math.log(sum / this.#logs.length);
	}

	/** Adds runs of which the baseline explains a share. */
	add(runs: number, bad: number, share: number): void {
		for (const [index, additional] of additionalShares.entries()) {
			const alternative = share + (additional * (1 - share));
			this.#logs[index]! += (bad * Math.log(alternative / share)) + ((runs - bad) * Math.log((1 - alternative) / (1 - share)));
		}
	}
}

/** Computes the error rate of each of several independent tests so that the rate at which a number of them err together is at most a given one. */
export function computeSingleErrorRate(errorRate: number, testCount: number, minCount: number): number {
	let combinations = 1;
	for (let index = 1; index <= minCount; index++) {
		combinations *= (testCount - minCount + index) / index;
	}

	return (errorRate / combinations) ** (1 / minCount);
}
