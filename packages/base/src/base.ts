/**
 * Clocks, random sources, and values computed from them. Code that needs the time or
 * random numbers takes a `Clock` or a `Random` as an argument, so that tests can control both.
 */

/** A source of time that tests can replace. */
export type Clock = {
	/** Returns monotonic time in milliseconds; only differences are meaningful. */
	now(): number;

	/** Returns the time since the Unix epoch in milliseconds. */
	wallTime(): number;

	/**
	 * Waits for a duration in milliseconds.
	 *
	 * Resolves early, without an error, when the signal is aborted.
	 */
	sleep(duration: number, signal?: AbortSignal): Promise<void>;
};

/** A source of random numbers that tests can replace by a seeded one. */
export type Random = {
	/** Returns a number from 0 (inclusive) to 1 (exclusive). */
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

/** Chooses a random integer from 0 (inclusive) to the limit (exclusive). */
export function chooseInteger(random: Random, limit: number): number {
	return Math.floor(random.next() * limit);
}

/**
 * Computes the backoff before a retry, in milliseconds: exponential with full jitter.
 *
 * @param failureCount Number of failures so far, from 1.
 * @param baseMs Upper bound of the first backoff in milliseconds.
 * @param capMs Upper bound of every backoff in milliseconds.
 */
export function computeBackoff(random: Random, failureCount: number, baseMs: number, capMs: number): number {
	const bound = Math.min(capMs, baseMs * (2 ** Math.min(failureCount - 1, 30)));
	return bound * random.next();
}
