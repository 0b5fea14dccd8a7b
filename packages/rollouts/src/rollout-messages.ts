/** What sidecars and the coordinator of a roll-out send each other, in JSON. */
import {StepError} from '@ebonylead/base/errors.js';
import {type RunHistory} from './run-counts.js';
import {rolloutStates, type RolloutState, type RowPosition} from './rollouts.js';

/** Path of reports, on the port for calls of other nodes. */
export const rolloutPath = '/x-ebonylead/rollouts';

/** Maximum size of a report in bytes. One of all slices and routes with few runs each has about 100 kB. */
export const maxReportBytes = 256 * 1024;

/** Report of a sidecar on its upstream during a roll-out. */
export type RolloutReport = {
	readonly service: string;
	readonly order: RowPosition;

	/** Milliseconds since the order was first seen by a node. */
	readonly age: number;

	/** Identity of the reporting node, and of its process. */
	readonly member: string;
	readonly process: number;

	/** Counts the reports of a process, so that one that was overtaken by a later one is left out. */
	readonly sequence: number;

	/** Version of the upstream. */
	readonly version: string;

	/** Whether the upstream takes calls, and whether it was withdrawn by a roll-back. */
	readonly isReady: boolean;
	readonly isWithdrawn: boolean;

	/** Number of runs in flight. */
	readonly inFlight: number;

	/** Milliseconds since the upstream reached its full speed; 0 before. */
	readonly warmFor: number;

	/** First slice of the runs that are sent; earlier ones have not changed since they were sent. */
	readonly firstSlice: number;
	readonly runs: RunHistory;
};

/** Reply of the coordinator. */
export type RolloutReply = {
	/** State to act by; undefined if the receiver does not know the order. */
	readonly state: RolloutState | undefined;

	/** Milliseconds since the order was first seen by a node. */
	readonly age: number;

	/** Whether the receiver lacks earlier slices of the reporting process. */
	readonly needsAll: boolean;
};

/** Maximum number of numbers in the histogram of one route. */
const maxHistogramLength = 128;
const maxTextLength = 256;
const kindCount = 4;

/**
 * Decodes a report.
 *
 * @throws StepError if it is not one.
 */
export function decodeReport(text: string): RolloutReport {
	const report = decodeObject(text) as Partial<RolloutReport>;
	const {
		service, order, age, member, process, sequence, version, isReady, isWithdrawn, inFlight, warmFor, firstSlice, runs,
	} = report;
	const areNumbers = [age, process, sequence, inFlight, warmFor, firstSlice, order?.era, order?.revision].every(value => isCount(value));
	const areTexts = [service, member, version].every(value => typeof value === 'string' && value.length <= maxTextLength);
	if (!areNumbers || !areTexts || typeof isReady !== 'boolean' || typeof isWithdrawn !== 'boolean' || !isHistory(runs)) {
		throw new StepError('decode report', 'another node', 'a field is missing or has the wrong type');
	}

	return report as RolloutReport;
}

/**
 * Decodes a reply.
 *
 * @throws StepError if it is not one.
 */
export function decodeReply(text: string): RolloutReply {
	const {state, age, needsAll} = decodeObject(text) as Partial<RolloutReply>;
	const isState = state === undefined || Object.values(rolloutStates).includes(state);
	if (!isState || !isCount(age) || typeof needsAll !== 'boolean') {
		throw new StepError('decode reply', 'another node', 'a field is missing or has the wrong type');
	}

	return {state, age: age!, needsAll};
}

function decodeObject(text: string): unknown {
	try {
		const value: unknown = JSON.parse(text);
		return typeof value === 'object' && value !== null ? value : {};
	} catch (error) {
		throw new StepError('decode message', 'another node', (error as Error).message, {cause: error});
	}
}

function isHistory(runs: unknown): runs is RunHistory {
	return isRecord(runs) && Object.values(runs).every(slice => isRecord(slice) && Object.values(slice).every(counts => isRouteCounts(counts)));
}

function isRouteCounts(counts: unknown): boolean {
	return Array.isArray(counts) && counts.length === kindCount
		&& counts.every(histogram => Array.isArray(histogram) && histogram.length <= maxHistogramLength && histogram.every(value => isCount(value)));
}

function isRecord(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isCount(value: unknown): boolean {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
