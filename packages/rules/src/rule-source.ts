/** The interface of a source of accepted rules. */
import {type RouteTable} from './route-table.js';
import {type Snapshot} from './rules.js';

/** Limits of size and time for a caller's connection. */
export type CallerLimits = {
	/** Maximum size of a request's head, in bytes. */
	readonly headerBytes: number;

	/** Maximum size of a request's body, in bytes. */
	readonly bodyBytes: number;

	/** Timeout for receiving a request's head, in milliseconds. */
	readonly headerTime: number;

	/** How long a connection may be idle, in milliseconds. */
	readonly idleTime: number;
};

/** An accepted version with the limits that belong to it. */
export type AcceptedRules = {
	readonly snapshot: Snapshot;
	readonly limits: CallerLimits | undefined;

	/** Paths at which upstreams tell whether they are ready, by service; undefined if none are known. */
	readonly healthPaths?: Readonly<Record<string, string>>;
};

/** Handles a version that a source read, with its route table if the source has built it. */
export type RulesHandler = (rules: AcceptedRules, routeTable?: RouteTable) => void;

/** A source of the accepted versions of the rules. */
export type RuleSource = {
	/** Whether the source did not respond to the last request. */
	readonly isUnavailable: boolean;

	/** Monotonic time in milliseconds until which the last response of the source counts as fresh; minus infinity before the first one. */
	readonly freshUntil: number;

	/** Time in milliseconds for which a response counts as fresh; undefined counts as 0. */
	readonly freshTime?: number;

	/**
	 * Follows the source until the signal is aborted.
	 *
	 * @param onRules Called with each version that was read; versions may repeat, and some may be skipped.
	 */
	run(signal: AbortSignal, onRules: RulesHandler): Promise<void>;
};
