/** Text form of the messages about quotas between nodes. Usages and limits are arrays, as their names would be most of the bytes. */
import {StepError} from '@ebonylead/base/errors.js';
import {type QuotaReply, type QuotaReport} from './quotas.js';

/** Path of messages about quotas between nodes. */
export const quotaPath = '/x-ebonylead/quotas';

/** Maximum size of a message in bytes: some 1,000 organisations with counts of a long run. */
export const maxQuotaMessageBytes = 128 * 1024;

/** A message that a node receives: a report, or limits from the home. */
export type QuotaMessage
	= | {readonly kind: 'report'; readonly report: QuotaReport}
		| {readonly kind: 'update'; readonly reply: QuotaReply};

/** Encodes a report. */
export function encodeReport({usages, elapsed, limited, ...report}: QuotaReport): string {
	return JSON.stringify({
		...report,
		elapsed: Math.round(elapsed),
		usages: usages.map(usage => [usage.organisation, usage.admitted, usage.arrived, usage.acknowledgedAdmitted, usage.acknowledgedArrived]),
		...(limited.length > 0 && {limited}),
	});
}

/** Encodes the reply to a report, or limits that the home sends on its own account. */
export function encodeReply({isComplete, limits, otherHome}: QuotaReply): string {
	return JSON.stringify({complete: isComplete, limits: limits.map(({organisation, share, retryAfter}) => [organisation, share, retryAfter]), otherHome});
}

/**
 * Decodes a message from another node.
 *
 * @throws StepError if it is invalid.
 */
export function decodeMessage(text: string): QuotaMessage {
	const wire = parseObject(text);
	return wire.usages === undefined ? {kind: 'update', reply: decodeReplyObject(wire)} : {kind: 'report', report: decodeReportObject(wire)};
}

/**
 * Decodes the reply to a report.
 *
 * @throws StepError if it is invalid.
 */
export function decodeReply(text: string): QuotaReply {
	return decodeReplyObject(parseObject(text));
}

function decodeReportObject(wire: Record<string, unknown>): QuotaReport {
	return {
		node: readText(wire.node),
		instance: readNumber(wire.instance),
		number: readNumber(wire.number),
		elapsed: Math.max(0, readNumber(wire.elapsed)),
		usages: readRows(wire.usages).map(([organisation, admitted, arrived, acknowledgedAdmitted, acknowledgedArrived]) => ({
			organisation: readText(organisation),
			admitted: readNumber(admitted),
			arrived: readNumber(arrived),
			acknowledgedAdmitted: readNumber(acknowledgedAdmitted),
			acknowledgedArrived: readNumber(acknowledgedArrived),
		})),
		limited: wire.limited === undefined ? [] : readTexts(wire.limited),
	};
}

function decodeReplyObject(wire: Record<string, unknown>): QuotaReply {
	return {
		isComplete: wire.complete === true,
		limits: readRows(wire.limits).map(([organisation, share, retryAfter]) => ({
			organisation: readText(organisation), share: Math.max(0, Math.min(1, readNumber(share))), retryAfter: Math.max(0, readNumber(retryAfter)),
		})),
		otherHome: wire.otherHome === undefined ? undefined : readText(wire.otherHome),
	};
}

function parseObject(text: string): Record<string, unknown> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		throw createError((error as Error).message);
	}

	if (typeof value !== 'object' || value === null) {
		throw createError('no object');
	}

	return value as Record<string, unknown>;
}

function readRows(value: unknown): unknown[][] {
	if (!Array.isArray(value) || !value.every(row => Array.isArray(row))) {
		throw createError('no list of rows');
	}

	return value;
}

function readTexts(value: unknown): string[] {
	if (!Array.isArray(value)) {
		throw createError('no list of texts');
	}

	return value.map(item => readText(item));
}

function readText(value: unknown): string {
	if (typeof value !== 'string' || value === '') {
		throw createError('a text is missing');
	}

	return value;
}

function readNumber(value: unknown): number {
	if (typeof value !== 'number' || !Number.isFinite(value)) {
		throw createError('a number is missing');
	}

	return value;
}

function createError(reason: string): StepError {
	return new StepError('read a message about quotas', 'another node', reason);
}
