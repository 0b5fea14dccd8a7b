/** Waits in tests for what other tasks or processes do. */

/** Longest wait in milliseconds; beside a busy machine a start of processes takes several seconds. */
const settleLimit = 20_000;
const pollPeriod = 5;

/**
 * Waits until a check holds.
 *
 * @param what Named in the error.
 * @param limit Longest wait in milliseconds.
 * @throws Error when the check does not come to hold in time.
 */
export async function settle(check: () => boolean | Promise<boolean>, what = 'the check', limit = settleLimit): Promise<void> {
	const end = performance.now() + limit;
	while (!await check()) {
		if (performance.now() > end) {
			throw new Error(`${what} did not come to hold within ${limit} ms`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollPeriod);
		});
	}
}
