/** Tells when a server sends nothing for a time; what follows is left to its user. */

/** When a server counts as silent. */
export type SilenceOptions = {
	/** Time in milliseconds without a byte of the response, counted from the end of the request's body. */
	readonly timeout: number;

	/** Called when the server becomes silent, and when it is no longer or the request ended. */
	readonly onChange: (isSilent: boolean) => void;
};

/** Watches one request. */
export class SilenceTimer {
	readonly #options: SilenceOptions;
	#timer: NodeJS.Timeout | undefined;
	#isSilent = false;

	constructor(options: SilenceOptions) {
		this.#options = options;
	}

	/** Starts to wait for the next byte, anew if it waits already. */
	start(): void {
		this.stop();
		this.#timer = setTimeout(() => {
			this.#isSilent = true;
			this.#options.onChange(true);
		}, this.#options.timeout);
	}

	/** Stops until the next `start`. */
	stop(): void {
		clearTimeout(this.#timer);
		if (this.#isSilent) {
			this.#isSilent = false;
			this.#options.onChange(false);
		}
	}
}
