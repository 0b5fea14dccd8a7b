/** Polls for a condition that other tasks or processes bring about, for tests. */

/** Long, as starting processes takes several seconds on a busy machine. */
const defaultTimeoutMs = 20_000;
const pollIntervalMs = 5;

/**
 * Waits until a condition holds.
 *
 * @param description What the condition is, for the error message.
 * @param timeout Longest wait in milliseconds.
 * @throws Error if the condition does not hold within the timeout.
 */
export async function waitUntil(condition: () => boolean | Promise<boolean>, description = 'unnamed', timeout = defaultTimeoutMs): Promise<void> {
	const end = performance.now() + timeout;
	while (!await condition()) {
		if (performance.now() > end) {
			throw new Error(`condition not met within ${timeout} ms: ${description}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollIntervalMs);
		});
	}
}
