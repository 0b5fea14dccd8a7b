/** Estimates how long ago a caller made its first attempt at a call. */

/**
 * Share of a route's longest deadline below which a call counts as a repeated one:
 * the deadlines of callers of one route differ by up to about a seventh.
 */
const firstAttemptShare = 0.83;

/** Share by which the longest deadline of a route decays with each call, so that it follows callers that set shorter deadlines. */
const decayPerCall = 0.0001;

/** Maximum number of routes; beyond it the route that was added first is dropped. */
const maxRoutes = 2048;

/**
 * Keeps the longest deadline that callers of each route set.
 *
 * A caller that repeats a call after a refusal has less time left than at its
 * first attempt, and its latency objective counts from that attempt. The
 * remaining time therefore tells a repeated call from a new one.
 */
export class CallAges {
	readonly #longestDeadlines = new Map<string, number>();

	/** Estimates the time in milliseconds since the caller's first attempt; 0 if this appears to be the first. */
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
