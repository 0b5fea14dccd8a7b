/** What operators ask of a node, and what it answers. */
import {type RuleFault} from '@ebonylead/rules/rule-file.js';
import {type RuleConflict} from '@ebonylead/rules/rule-merge.js';
import {type BurnReport} from './burn-report.js';

/** A rule file on its way to a node. */
export type SubmitRequest = {
	readonly submissionId: string;
	readonly submitter: string;
	readonly file: string;
	readonly text: string;

	/** The version that the file was edited from; undefined to take it from the file. */
	readonly baseVersion?: number;
};

/** One line of the answer to a submission. */
export type SubmitEvent
	= | {readonly kind: 'faults'; readonly faults: readonly RuleFault[]}
		| {readonly kind: 'conflict'; readonly conflicts: readonly RuleConflict[]}
		| {readonly kind: 'refused'; readonly reason: string}
		| {readonly kind: 'unknown'; readonly reason: string}
		| {readonly kind: 'accepted'; readonly version: number; readonly changed: readonly string[]; readonly merged: readonly string[]}
		| {readonly kind: 'progress'; readonly version: number; readonly inForce: number; readonly members: number; readonly elapsed: number}
		| {readonly kind: 'finished'; readonly version: number; readonly inForce: number; readonly members: number; readonly elapsed: number; readonly lagging: readonly string[]};

/** Counts of a data centre in the status. */
export type DataCentreStatus = {
	readonly dataCentre: string;
	readonly members: number;
	readonly versions: ReadonlyArray<{readonly version: number; readonly count: number}>;
};

/** What a node knows of itself and of the others. */
export type StatusReport = {
	readonly node: string;
	readonly dataCentre: string;
	readonly version: number;
	readonly isReady: boolean;
	readonly store: 'up' | 'down' | 'unknown';
	readonly members: number;
	readonly suspected: readonly string[];
	readonly draining: readonly string[];
	readonly dataCentres: readonly DataCentreStatus[];
	readonly laggards: ReadonlyArray<{readonly id: string; readonly version: number}>;
	readonly unreached: readonly string[];
	readonly controlBytes: number;

	/** Fingerprints of the requests that run no more. */
	readonly quarantined: readonly string[];
};

/** Why a rule does or does not match a request. */
export type RuleExplanation = {
	readonly rule: string;
	readonly since: number;
	readonly askedBy: string;

	/** The part that differs; undefined where the rule matches. */
	readonly mismatch?: string;
};

/** Why a request goes where it goes. */
export type ExplainReport = {
	readonly version: number;
	readonly chosen?: RuleExplanation;
	readonly others: readonly RuleExplanation[];
	readonly upstreams: ReadonlyArray<{readonly id: string; readonly service: string; readonly dataCentre: string; readonly exclusion?: string}>;
};

/** Answers operators; the node implements it. */
export type OperatorHandlers = {
	/** Runs a submission; each event goes to the operator as it comes. */
	submit(request: SubmitRequest, onEvent: (event: SubmitEvent) => void): Promise<void>;
	buildStatus(): Promise<StatusReport>;

	/** Returns the rules in force as a file that can be edited and submitted. */
	formatRules(): string;
	explain(request: {method: string; host: string; path: string; headers: Record<string, string>}): ExplainReport;

	/** Reports how fast the routes spend their error budgets, over all nodes. */
	buildReport(): Promise<BurnReport>;

	/** Returns the metrics in Prometheus' text format. */
	formatMetrics(): Promise<string>;
	isReady(): boolean;
};
