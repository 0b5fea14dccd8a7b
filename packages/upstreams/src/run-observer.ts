/** Observation of the runs at the local upstream, for parts of a node that judge or measure the upstream. */
import {type ForwardResult} from './forward.js';

/** How a run ended. */
export const runOutcomes = {
	/** The upstream sent a complete response with a status below 500. */
	success: 'success',

	/** The upstream sent a status of 500 or above, an invalid or incomplete response, or none before the deadline. */
	failure: 'failure',
} as const;

/** One of `runOutcomes`. */
export type RunOutcome = typeof runOutcomes[keyof typeof runOutcomes];

/** A call that the local upstream has run. */
export type UpstreamRun = {
	/** Key of the rule. */
	readonly route: string;
	readonly outcome: RunOutcome;

	/** Time in milliseconds from the sending of the request to the end of the response; queueing is not included. */
	readonly duration: number;

	/** Number of calls that were running when this one started, with itself. */
	readonly concurrency: number;
};

/** Is told of each run. Calls that did not run, or whose caller left, are not runs. */
export type RunObserver = {
	recordRun(run: UpstreamRun): void;
};

const minServerErrorStatus = 500;

/** Determines the outcome of a run; undefined if the result shows nothing about the upstream. */
export function findRunOutcome(result: ForwardResult, hasCallerLeft: boolean): RunOutcome | undefined {
	switch (result.kind) {
		case 'answered':
		case 'rejected': {
			return result.status < minServerErrorStatus ? runOutcomes.success : runOutcomes.failure;
		}

		case 'unanswered':
		case 'cut': {
			return hasCallerLeft ? undefined : runOutcomes.failure;
		}

		case 'unsent':
		case 'not-run': {
			return undefined;
		}
	}
}
