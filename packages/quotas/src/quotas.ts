/** Quotas of organisations, and the messages by which nodes keep them together. */

/** What an organisation may run. */
export type Quota = {
	readonly name: string;

	/** Requests per second. */
	readonly rate: number;

	/** Requests beyond the rate, after a time with fewer. */
	readonly burst: number;
};

/** How far all nodes together may exceed a quota: in each window, (rate x window + burst) x (1 + over) + slack requests may run. */
export type QuotaBounds = {
	/** Length of the window in milliseconds. */
	readonly window: number;

	/** Share of the quota by which it may be exceeded. */
	readonly over: number;

	/** Number of requests by which each quota may be exceeded in addition. */
	readonly slack: number;
};

/** Counts of one organisation at one node, since the start of its process. */
export type QuotaUsage = {
	readonly organisation: string;

	/** Requests that were admitted and did not end as "not run". */
	readonly admitted: number;

	/** Requests that arrived, whether they were admitted or not. */
	readonly arrived: number;

	/** The same counts when a home last acknowledged them; a home that does not know the node counts from there. */
	readonly acknowledgedAdmitted: number;
	readonly acknowledgedArrived: number;
};

/** What a node tells the quota home. */
export type QuotaReport = {
	/** Identifier of the node. */
	readonly node: string;

	/** Identifies the process of the node, as counts start again with each. */
	readonly instance: number;

	/** Number of the report, from 1 in each process. */
	readonly number: number;

	/** Time in milliseconds since the last acknowledged report, or since the start of the process. */
	readonly elapsed: number;

	/** The organisations whose counts have changed since the last acknowledged report. */
	readonly usages: readonly QuotaUsage[];

	/** The organisations that are limited at the node; a new home keeps limiting them. */
	readonly limited: readonly string[];
};

/** An organisation whose requests are admitted only in part. */
export type QuotaLimit = {
	readonly organisation: string;

	/** Share of its arrivals that is admitted, from 0 to 1. */
	readonly share: number;

	/** Milliseconds after which there will be credit again. */
	readonly retryAfter: number;
};

/** What the quota home tells a node. */
export type QuotaReply = {
	/** Whether the home has heard of all nodes; if not, limits that are not named stay in force. */
	readonly isComplete: boolean;
	readonly limits: readonly QuotaLimit[];

	/** Identifier of the home that the responding node itself reports to, if that is another one. */
	readonly otherHome?: string;
};

/** Time in milliseconds within which a home knows of all nodes that can reach it: longer than the interval of reports. */
export const completeAfterMs = 1200;

/** Interval in milliseconds between two reports of a node while no limit changes. */
export const reportIntervalMs = 1000;

/** Minimum interval in milliseconds between two reports of a node. */
export const minReportIntervalMs = 100;

export const millisecondsPerSecond = 1000;

/** Computes by how many requests an organisation may exceed its quota in a window. */
export function computeAllowance({rate, burst}: Quota, {window, over, slack}: QuotaBounds): number {
	return (((rate * window / millisecondsPerSecond) + burst) * over) + slack;
}
