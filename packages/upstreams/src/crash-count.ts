/** Decides what the crashes at which a request was in flight show. */

/** A crash at which a request was in flight. */
export type Crash = {
	/** Monotonic time in milliseconds. */
	readonly crashedAt: number;

	/** Number of different requests that were in flight. */
	readonly inFlight: number;

	/** 1 more than the highest generation of the crashes that were known to the node when the request started. */
	readonly generation: number;

	/** Whether the request has run without a crash since. */
	readonly isAcquitted: boolean;
};

/** Whether a request runs normally (`clear`), runs while no other call does (`suspect`), or is refused (`quarantined`). */
export type QuarantineStatus = 'clear' | 'suspect' | 'quarantined';

/** Number of crashes from which on a request is refused. */
const maxCrashes = 3;

/** Number of crashes from which on a request is refused, if it was the only one in flight at each of them. */
const maxLoneCrashes = 2;

/**
 * Judges a request by the crashes that are not acquitted.
 *
 * Upstreams that fail together have another cause than a request, and requests
 * that run at several of them are in flight at each. Their crashes have the same
 * generation, as no node knew of one when the requests started. A request that
 * causes crashes causes one after another. Generations are part of what nodes
 * tell each other, so that all nodes judge alike, whatever their clocks say.
 */
export function judgeCrashes(crashes: readonly Crash[]): QuarantineStatus {
	const lone = crashes.filter(({inFlight}) => inFlight === 1);
	const hasCausedAlone = lone.some(({generation}) => generation > 1);
	if (findGeneration(crashes) >= maxCrashes || (hasCausedAlone && (crashes.length >= maxCrashes || lone.length >= maxLoneCrashes))) {
		return 'quarantined';
	}

	return crashes.length >= maxCrashes - 1 || lone.length > 0 ? 'suspect' : 'clear';
}

/** Returns the highest generation; 0 without a crash. */
export function findGeneration(crashes: readonly Crash[]): number {
	return Math.max(0, ...crashes.map(({generation}) => generation));
}
