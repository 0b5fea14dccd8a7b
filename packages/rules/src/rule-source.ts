/** Where accepted rules come from. */
import {type Snapshot} from './rules.js';

/** What one caller's connection may send, and for how long it may be slow or idle. */
export type CallerLimits = {
	/** Most bytes of a request's head. */
	readonly headerBytes: number;

	/** Most bytes of a request's body. */
	readonly bodyBytes: number;

	/** Longest time for a request's head in milliseconds. */
	readonly headerTime: number;

	/** Longest time without a request on a connection in milliseconds. */
	readonly idleTime: number;
};

/** One accepted version with all that comes with it. */
export type AcceptedRules = {
	readonly snapshot: Snapshot;
	readonly limits: CallerLimits | undefined;
};

/** Follows the accepted rules. */
export type RuleSource = {
	/** Whether the source did not answer the last time that it was asked. */
	readonly isUnavailable: boolean;

	/**
	 * Follows the source until the signal is aborted.
	 *
	 * @param onRules Called with each version that was read; versions may come twice, and some may be left out.
	 */
	run(signal: AbortSignal, onRules: (rules: AcceptedRules) => void): Promise<void>;
};
