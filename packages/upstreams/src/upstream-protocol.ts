/** The HTTP headers and statuses that a sidecar and its local upstream exchange on a call. */
import {type ResponseHeaders} from './forward.js';
import {emptyNotice, parseRateLimit, type UpstreamNotice} from './upstream-notice.js';
import {meshHeaders} from './upstreams.js';

/** Properties of a call that is sent to an upstream. */
export type UpstreamCall = {
	/** Milliseconds left until the deadline of the call. */
	readonly timeLeft: number;

	/** Number of the attempt, from 1. */
	readonly attempt: string;

	/** Name of the caller. */
	readonly caller: string;

	/** Identity of the upstream process that must handle the call; empty if it announced none. */
	readonly instance: string;

	/** Name of the organisation whose call it is; undefined on public routes, and where there are no organisations. */
	readonly organisation?: string;

	/** Whether the deployment has organisations. A key, and a name of an organisation that the caller set, must not reach the upstream then; nodes of earlier versions forward both. */
	readonly hasOrganisations?: boolean;
};

/** Classification of a response by its status and headers. */
export type ResponseValidation
	/** The response of the upstream to this call. */
	= | {readonly kind: 'final'}
	/** The upstream did not execute the call. With `isLastOnConnection` the connection must not be used again, as the response does not name its request. */
		| {readonly kind: 'not-run'; readonly reason: string; readonly isOtherInstance?: boolean; readonly isLastOnConnection?: boolean}
	/** Not the response of the upstream to this call, which may have been executed; with `isForeign`, one to another call. */
		| {readonly kind: 'invalid'; readonly reason: string; readonly isForeign?: boolean};

/** Protocol between sidecars and their upstreams. */
export type UpstreamProtocol = {
	/** Returns the identifier of a request, or undefined if it has none. */
	readRequestId(headers: ResponseHeaders): string | undefined;

	/** Sets the protocol's headers on a request, whose headers are a copy of the caller's. */
	setRequestHeaders(headers: Record<string, string | string[]>, call: UpstreamCall): void;

	/** Classifies a response by its status and headers. */
	validateResponse(status: number, responseHeaders: ResponseHeaders, requestHeaders: ResponseHeaders): ResponseValidation;

	/** Returns what a response of the upstream says of it, or why it can't be read. A limit that can't be read counts as none. */
	readNotice(responseHeaders: ResponseHeaders): {readonly notice: UpstreamNotice; readonly fault?: string};
};

/** Builds a notice from the two headers of a response. */
export function buildNotice(rateLimitText: string | string[] | undefined, leavingText: string | string[] | undefined): {readonly notice: UpstreamNotice; readonly fault?: string} {
	if (rateLimitText === undefined && leavingText === undefined) {
		return {notice: emptyNotice};
	}

	const rateLimit = parseRateLimit(rateLimitText);
	const notice = {rateLimit, isLeaving: leavingText === '1'};
	return rateLimit === undefined && rateLimitText !== undefined ? {notice, fault: `the limit ${JSON.stringify(rateLimitText)} is no number from 0`} : {notice};
}

/** Header of the default protocol that holds the key of a request, in lower case. */
export const defaultKeyHeader = 'x-api-key';

/** The default protocol, which takes every response as the upstream's own. */
export class DefaultUpstreamProtocol implements UpstreamProtocol {
	readRequestId(headers: ResponseHeaders): string | undefined {
		const id = headers[meshHeaders.requestId];
		return Array.isArray(id) ? id[0] : id;
	}

	setRequestHeaders(headers: Record<string, string | string[]>, call: UpstreamCall): void {
		headers[meshHeaders.deadline] = String(Math.floor(call.timeLeft));
		headers[meshHeaders.attempt] = call.attempt;
		if (call.hasOrganisations) {
			Reflect.deleteProperty(headers, defaultKeyHeader);
		}

		if (call.organisation !== undefined) {
			headers[meshHeaders.organisation] = call.organisation;
		}
	}

	validateResponse(): ResponseValidation {
		return {kind: 'final'};
	}

	readNotice(headers: ResponseHeaders): {readonly notice: UpstreamNotice; readonly fault?: string} {
		return buildNotice(headers[meshHeaders.rateLimit], headers[meshHeaders.leaving]);
	}
}
