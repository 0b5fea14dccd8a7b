/** Counts what the attempts of one call may have caused, for the limits of retries. */

/** What is known of an attempt that ended. */
export type AttemptEffect = {
	/** Whether an upstream may have run the call. */
	readonly mayHaveRun: boolean;

	/** Whether an upstream received the call, if only to refuse it. */
	readonly hasReachedUpstream: boolean;
};

/** Counts for one call. An attempt whose sidecar is out of reach counts as a possible run until its end shows otherwise. */
export class AttemptCounts {
	#possibleRuns = 0;
	#reachedUpstreams = 0;
	#mayHaveRun = false;
	readonly #suspected = new Set<string>();

	/** Number of upstreams that may have run the call. */
	get possibleRuns(): number {
		return this.#possibleRuns;
	}

	/** Number of upstreams that received the call, including those that refused it. */
	get reachedUpstreams(): number {
		return this.#reachedUpstreams;
	}

	/** Whether an attempt that ended may have run. */
	get mayHaveRun(): boolean {
		return this.#mayHaveRun;
	}

	/** Records that the sidecar of an attempt in flight is out of reach. */
	recordSuspicion(id: string): void {
		this.#suspected.add(id);
		this.#possibleRuns++;
		this.#reachedUpstreams++;
	}

	/** Records the end of an attempt. */
	recordEnd(id: string, {mayHaveRun, hasReachedUpstream}: AttemptEffect): void {
		this.#mayHaveRun ||= mayHaveRun;
		if (this.#suspected.delete(id)) {
			this.#possibleRuns -= mayHaveRun ? 0 : 1;
			return;
		}

		this.#possibleRuns += mayHaveRun ? 1 : 0;
		this.#reachedUpstreams += mayHaveRun || hasReachedUpstream ? 1 : 0;
	}
}
