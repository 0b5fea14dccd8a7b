/**
 * The interfaces to what the outside decides (time and randomness) that every
 * package of ebonylead takes as arguments.
 */

/** A source of time that tests can replace. */
export type Clock = {
	/** Returns monotonic time in milliseconds; only differences have a meaning. */
	now(): number;

	/** Returns the time since the Unix epoch in milliseconds. */
	wallTime(): number;

	/**
	 * Waits for a time in milliseconds.
	 *
	 * Resolves early, without an error, when the signal is aborted.
	 */
	sleep(duration: number, signal?: AbortSignal): Promise<void>;
};

/** A source of random numbers that tests can replace by a seeded one. */
export type Random = {
	/** Returns a number from 0 (included) to 1 (excluded). */
	next(): number;
};

/** The clock of the operating system. */
export class SystemClock implements Clock {
	now(): number {
		return performance.now();
	}

	wallTime(): number {
		return Date.now();
	}

	async sleep(duration: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				signal?.removeEventListener('abort', finish);
				resolve();
			};

			const timer = setTimeout(finish, duration);
			signal?.addEventListener('abort', finish);
		});
	}
}

/** Returns an integer from 0 (included) to the limit (excluded). */
export function pickInteger(random: Random, limit: number): number {
	return Math.floor(random.next() * limit);
}

/**
 * Returns a delay in milliseconds for a retry: exponential with full jitter.
 *
 * @param attempt Count of failures so far, from 1.
 * @param base Upper bound of the first delay in milliseconds.
 * @param cap Upper bound of every delay in milliseconds.
 */
export function computeBackoff(random: Random, attempt: number, base: number, cap: number): number {
	const bound = Math.min(cap, base * (2 ** Math.min(attempt - 1, 30)));
	return bound * random.next();
}
