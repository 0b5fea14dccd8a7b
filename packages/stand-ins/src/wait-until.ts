/** Waits in tests for what other tasks or processes do. */

/** Longest wait in milliseconds; beside a busy machine a start of processes takes several seconds. */
const defaultTimeoutMs = 20_000;
const pollIntervalMs = 5;

/**
 * Waits until a check holds.
 *
 * @param description Named in the error.
 * @param timeout Longest wait in milliseconds.
 * @throws Error when the check does not come to hold in time.
 */
export async function waitUntil(condition: () => boolean | Promise<boolean>, description = 'the check', timeout = defaultTimeoutMs): Promise<void> {
	const end = performance.now() + timeout;
	while (!await condition()) {
		if (performance.now() > end) {
			throw new Error(`${description} did not come to hold within ${timeout} ms`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollIntervalMs);
		});
	}
}
