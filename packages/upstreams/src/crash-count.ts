/** Counts the crashes that a request may have caused. */

/** A crash at which a request was in flight. */
export type Crash = {
	/** Monotonic time in milliseconds. */
	readonly crashedAt: number;

	/** Number of different requests that were in flight. */
	readonly inFlight: number;

	/** Milliseconds for which the request had run. */
	readonly ranFor: number;

	/** Whether the request has run without a crash since. */
	readonly isAcquitted: boolean;
};

/** Crashes that count against a request. */
export type CrashCount = {
	readonly all: number;

	/** Those at which it was the only request in flight. */
	readonly lone: number;
};

/**
 * Counts the crashes that are not acquitted. Those at which the request already
 * ran when the one before happened count as one with it: several upstreams that
 * fail at the same time have another cause, and all requests are in flight then.
 */
export function countCrashes(crashes: readonly Crash[]): CrashCount {
	const open = crashes.filter(({isAcquitted}) => !isAcquitted).toSorted((left, right) => left.crashedAt - right.crashedAt);
	const isLone: boolean[] = [];
	let lastCrashAt = Number.NEGATIVE_INFINITY;
	for (const {crashedAt, ranFor, inFlight} of open) {
		if (crashedAt - ranFor < lastCrashAt) {
			isLone[isLone.length - 1] ||= inFlight === 1;
			continue;
		}

		isLone.push(inFlight === 1);
		lastCrashAt = crashedAt;
	}

	return {all: isLone.length, lone: isLone.filter(Boolean).length};
}
