/** Counts what the attempts of one call may have caused, for the limits of retries. */

/** What is known of an attempt that ended. */
export type AttemptEffect = {
	/** Whether an upstream may have run the call. */
	readonly mayHaveRun: boolean;

	/** Whether an upstream received the call, if only to refuse it. */
	readonly hasReachedUpstream: boolean;
};

/**
 * Counts for one call. Each attempt counts as a possible run from its start:
 * only the evidence at its end that it did not run, and never will, takes it back.
 */
export class AttemptCounts {
	readonly #possibleRuns = new Set<string>();
	readonly #reachedUpstreams = new Set<string>();
	#mayHaveRun = false;

	/** Number of upstreams that may have run the call, or may still get it. */
	get possibleRuns(): number {
		return this.#possibleRuns.size;
	}

	/** Number of upstreams that received the call, including those that refused it. */
	get reachedUpstreams(): number {
		return this.#reachedUpstreams.size;
	}

	/** Whether an attempt that ended may have run. */
	get mayHaveRun(): boolean {
		return this.#mayHaveRun;
	}

	/** Records that an attempt is about to be sent. */
	recordStart(id: string): void {
		this.#possibleRuns.add(id);
	}

	/** Records that the sidecar of an attempt in flight is out of reach, so that its upstream is taken to have received the call. */
	recordSuspicion(id: string): void {
		this.#reachedUpstreams.add(id);
	}

	/** Records the end of an attempt. */
	recordEnd(id: string, {mayHaveRun, hasReachedUpstream}: AttemptEffect): void {
		this.#mayHaveRun ||= mayHaveRun;
		if (!mayHaveRun) {
			this.#possibleRuns.delete(id);
		}

		if (mayHaveRun || hasReachedUpstream) {
			this.#reachedUpstreams.add(id);
		}
	}
}
