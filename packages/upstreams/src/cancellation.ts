/** A lightweight cancellation token, as every call needs one and an `AbortSignal` costs several times as much. */

type CancelListener = (reason: Error) => void;

/** Notifies listeners that a call is cancelled: its deadline passed, or its caller disconnected. */
export class Cancellation {
	#reason: Error | undefined;
	#listeners: CancelListener[] = [];

	/** Why the call was cancelled; undefined if it was not. */
	get reason(): Error | undefined {
		return this.#reason;
	}

	/** Whether the call was cancelled. */
	get isCancelled(): boolean {
		return this.#reason !== undefined;
	}

	/** Cancels the call; only the first reason counts. */
	cancel(reason: Error): void {
		if (this.#reason !== undefined) {
			return;
		}

		this.#reason = reason;
		const listeners = this.#listeners;
		this.#listeners = [];
		for (const listener of listeners) {
			listener(reason);
		}
	}

	/** Adds a listener; it is called at once if the call is already cancelled. */
	addListener(listener: CancelListener): void {
		if (this.#reason === undefined) {
			this.#listeners.push(listener);
		} else {
			listener(this.#reason);
		}
	}

	/** Removes a listener. */
	removeListener(listener: CancelListener): void {
		const index = this.#listeners.indexOf(listener);
		if (index !== -1) {
			this.#listeners.splice(index, 1);
		}
	}
}
