/** The last responses of a node that stops. */
import {type Clock} from '@ebonylead/base/base.js';
import {readArrivedRequests} from './final-reads.js';

/** A listener whose connections may hold bytes that the operating system has not taken yet. */
export type FlushedListener = {readonly hasUnsentBytes: boolean};

/** Time for sending the responses of cancelled calls before the connections are cut. */
const responseFlushMs = 150;

/** Maximum time for the bytes of these responses to leave this process; an open feed to a slow node must not hold up the stop. */
const maxFlushMs = 1000;
const pollIntervalMs = 20;

/**
 * Waits until the responses of cancelled calls, and those to requests that have arrived meanwhile, have left this process.
 *
 * @param deadline Monotonic time in milliseconds at which the wait ends.
 */
export async function flushResponses(listeners: readonly FlushedListener[], deadline: number, clock: Clock): Promise<void> {
	await clock.sleep(responseFlushMs);
	await readArrivedRequests();
	const end = Math.min(deadline, clock.now() + maxFlushMs);
	while (listeners.some(listener => listener.hasUnsentBytes) && clock.now() < end) {
		await clock.sleep(pollIntervalMs);
	}
}
