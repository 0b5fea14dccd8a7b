/** Types of the requests that operators send to a node, of its responses, and of their handlers. */
import {type RuleFault} from '@ebonylead/rules/rule-file.js';
import {type RuleConflict} from '@ebonylead/rules/rule-merge.js';
import {type BurnReport} from './burn-report.js';

/** Body of a submission: a rule file and who submits it. */
export type SubmitRequest = {
	readonly submissionId: string;
	readonly submitter: string;
	readonly file: string;
	readonly text: string;

	/** Version that the file is based on; undefined to read it from the file's first line. */
	readonly baseVersion?: number;
};

/**
 * One event in the response to a submission, sent as a line of JSON.
 *
 * `inForce` is the number of members on which the version or a later one is
 * active, `elapsed` the time since acceptance in milliseconds, `lagging` the ids
 * of the members that lag or did not reply.
 */
export type SubmitEvent
	= | {readonly kind: 'faults'; readonly faults: readonly RuleFault[]}
		| {readonly kind: 'conflict'; readonly conflicts: readonly RuleConflict[]}
		| {readonly kind: 'refused'; readonly reason: string}
		| {readonly kind: 'unknown'; readonly reason: string}
		| {readonly kind: 'accepted'; readonly version: number; readonly changed: readonly string[]; readonly merged: readonly string[]}
		| {readonly kind: 'progress'; readonly version: number; readonly inForce: number; readonly members: number; readonly elapsed: number}
		| {readonly kind: 'finished'; readonly version: number; readonly inForce: number; readonly members: number; readonly elapsed: number; readonly lagging: readonly string[]};

/** Number of members of a data centre that replied to the census, in total and by active version. */
export type DataCentreStatus = {
	readonly dataCentre: string;
	readonly members: number;
	readonly versions: ReadonlyArray<{readonly version: number; readonly count: number}>;
};

/** State of a node, and of the other nodes as it sees them. */
export type StatusReport = {
	readonly node: string;
	readonly dataCentre: string;
	readonly version: number;
	readonly isReady: boolean;

	/** Number of organisations of the version; undefined if it has none, so that all routes are public. */
	readonly organisations?: number;

	/** Whether the platform's services responded to the node's last request. */
	readonly store: 'up' | 'down' | 'unknown';
	readonly members: number;
	readonly suspected: readonly string[];
	readonly draining: readonly string[];
	readonly dataCentres: readonly DataCentreStatus[];
	readonly laggards: ReadonlyArray<{readonly id: string; readonly version: number}>;

	/** Ids of the members that did not reply to the census. */
	readonly unreached: readonly string[];

	/** Bytes of control messages that the nodes which replied have carried since they started. */
	readonly controlBytes: number;

	/** Fingerprints of the quarantined requests, which are not sent to any upstream. */
	readonly quarantined: readonly string[];
};

/** Why a rule does or does not match a request. */
export type RuleExplanation = {
	readonly rule: string;
	readonly since: number;
	readonly askedBy: string;

	/** First part of the rule that the request does not match, such as the host; undefined if the rule matches. */
	readonly mismatch?: string;
};

/** Explains which rule a request matches, and which upstreams it may be sent to. */
export type ExplainReport = {
	readonly version: number;
	readonly chosen?: RuleExplanation;
	readonly others: readonly RuleExplanation[];
	readonly upstreams: ReadonlyArray<{readonly id: string; readonly service: string; readonly dataCentre: string; readonly exclusion?: string}>;
};

/** Handlers of the operator listener; the node implements them. */
export type OperatorHandlers = {
	/** Runs a submission, and calls `onEvent` for each event as it occurs. */
	submit(request: SubmitRequest, onEvent: (event: SubmitEvent) => void): Promise<void>;

	/** Builds the status of the node, and of the other nodes as it sees them. */
	buildStatus(): Promise<StatusReport>;

	/** Formats the active rules as a file that can be edited and submitted. */
	formatRules(): string;

	/** Explains which rule a request matches. */
	explain(request: {method: string; host: string; path: string; headers: Record<string, string>}): ExplainReport;

	/** Builds the report on how fast the routes of all nodes consume their error budgets. */
	buildReport(): Promise<BurnReport>;

	/** Formats the metrics in the Prometheus text format. */
	formatMetrics(): Promise<string>;

	/** Returns whether the node serves calls. */
	isReady(): boolean;
};
