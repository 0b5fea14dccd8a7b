/** The attempts of one call that are in flight. */
import {type Attempt, type AttemptResult} from './attempt.js';

/** What happened to an attempt; the result is undefined if its sidecar is out of reach, and the attempt goes on. */
export type AttemptEvent = {readonly attempt: Attempt; readonly result?: AttemptResult};

/** Waits for events of all attempts in flight; there is more than one only while a sidecar is out of reach. */
export class AttemptsInFlight {
	/** Next event of each attempt. */
	readonly #events = new Map<Attempt, Promise<AttemptEvent>>();

	/** Whether no attempt is in flight. */
	get isEmpty(): boolean {
		return this.#events.size === 0;
	}

	/** Adds an attempt that was started. */
	add(attempt: Attempt): void {
		const end = this.#waitForEnd(attempt);
		this.#events.set(attempt, attempt.suspected === undefined ? end : Promise.race([end, this.#waitForSuspicion(attempt)]));
	}

	/** Waits for the next event. */
	async waitForEvent(): Promise<AttemptEvent> {
		const event = await Promise.race(this.#events.values());
		if (event.result === undefined) {
			this.#events.set(event.attempt, this.#waitForEnd(event.attempt));
		} else {
			this.#events.delete(event.attempt);
		}

		return event;
	}

	/** Cancels all attempts but one. */
	cancelOthers(attempt: Attempt): void {
		for (const other of this.#events.keys()) {
			if (other !== attempt) {
				other.cancel();
			}
		}
	}

	async #waitForEnd(attempt: Attempt): Promise<AttemptEvent> {
		return {attempt, result: await attempt.ended};
	}

	async #waitForSuspicion(attempt: Attempt): Promise<AttemptEvent> {
		await attempt.suspected;
		return {attempt};
	}
}
