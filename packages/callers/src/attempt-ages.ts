/** Estimates for how long the caller of a call has been trying. */

/** Callers' deadlines for one route differ by up to about a seventh; what lies further below the longest was tried before. */
const firstAttemptShare = 0.83;

/** Part by which the longest deadline of a route shrinks with each call, so that a change of the callers' habits is learnt in time. */
const decayPerCall = 0.0001;

/** Routes that are remembered; the oldest gives way. */
const maxRoutes = 2048;

/**
 * Learns the longest deadline that callers of a route set.
 *
 * A caller that comes back after a refusal has less time left than at its first
 * attempt, and its objective counts from there. So a returning call is told
 * from a new one by the time that it has left.
 */
export class AttemptAges {
	readonly #longestDeadlines = new Map<string, number>();

	/** Returns the time in milliseconds since the first attempt; 0 where it looks like the first. */
	estimate(route: string, deadline: number): number {
		const previous = this.#longestDeadlines.get(route);
		const longest = Math.max(deadline, (previous ?? 0) * (1 - decayPerCall));
		this.#longestDeadlines.set(route, longest);
		if (previous === undefined && this.#longestDeadlines.size > maxRoutes) {
			this.#longestDeadlines.delete(this.#longestDeadlines.keys().next().value!);
		}

		return deadline < longest * firstAttemptShare ? longest - deadline : 0;
	}
}
