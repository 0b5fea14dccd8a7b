/** The calls that occupy the slots of an upstream. */

/** A call that occupies a slot. */
export type RunningCall = {
	readonly route: string;

	/** Monotonic time in milliseconds. */
	readonly startedAt: number;

	/** Whether no other call may run beside it. */
	readonly isExclusive: boolean;
};

/** Counts running calls, and estimates when they end. */
export class RunningCalls {
	readonly #calls = new Set<RunningCall>();
	readonly #countByRoute = new Map<string, number>();

	/** Number of running calls. */
	get count(): number {
		return this.#calls.size;
	}

	/** Whether an exclusive call is running. */
	get hasExclusive(): boolean {
		const [first] = this.#calls;
		return first?.isExclusive ?? false;
	}

	/** Returns the number of running calls of a route. */
	countRoute(route: string): number {
		return this.#countByRoute.get(route) ?? 0;
	}

	/** Adds a call that starts. */
	add(call: RunningCall): void {
		this.#calls.add(call);
		this.#countByRoute.set(call.route, this.countRoute(call.route) + 1);
	}

	/** Removes a call that ended. */
	remove(call: RunningCall): void {
		this.#calls.delete(call);
		const remaining = this.countRoute(call.route) - 1;
		if (remaining === 0) {
			this.#countByRoute.delete(call.route);
		} else {
			this.#countByRoute.set(call.route, remaining);
		}
	}

	/**
	 * Estimates the times in milliseconds until each running call ends, in no order.
	 *
	 * A call that has run longer than expected is expected to run on for as long
	 * as it is overdue: an upstream that has stopped responding frees no slots,
	 * which the durations of ended calls don't show.
	 *
	 * @param estimate Returns the expected duration of a call of a route.
	 */
	estimateRemainingTimes(now: number, estimate: (route: string) => number): number[] {
		return Array.from(this.#calls, ({route, startedAt}) => Math.abs(estimate(route) - (now - startedAt)));
	}
}
