/** What a node and the upstream beside it say to each other on a call. */
import {type ResponseHeaders} from './forward.js';
import {meshHeaders} from './upstreams.js';

/** Facts of a call that is sent to an upstream. */
export type UpstreamCall = {
	/** Milliseconds that are left for the call. */
	readonly timeLeft: number;

	/** Count of the try, from 1. */
	readonly attempt: string;

	/** Who calls. */
	readonly caller: string;

	/** Identity of the upstream process that must take the call; empty where it has none. */
	readonly instance: string;
};

/** What the head of an answer says. */
export type ResponseValidation
	/** It is the upstream's answer to this call. */
	= | {readonly kind: 'final'}
	/** The upstream did not run the call. */
		| {readonly kind: 'not-run'; readonly reason: string; readonly isOtherInstance?: boolean}
	/** It can't be the upstream's answer to this call; the call may have run. */
		| {readonly kind: 'invalid'; readonly reason: string};

/** Speaks to upstreams. */
export type UpstreamProtocol = {
	/** Returns the identity of a request, or undefined where it has none. */
	readRequestId(headers: ResponseHeaders): string | undefined;

	/** Sets the headers of a request, which start as a copy of the caller's. */
	setRequestHeaders(headers: Record<string, string | string[]>, call: UpstreamCall): void;

	/** Judges the head of an answer. */
	validateResponse(status: number, responseHeaders: ResponseHeaders, requestHeaders: ResponseHeaders): ResponseValidation;
};

/** The product's own protocol: every complete answer is the upstream's. */
export class OwnUpstreamProtocol implements UpstreamProtocol {
	readRequestId(headers: ResponseHeaders): string | undefined {
		const id = headers[meshHeaders.requestId];
		return Array.isArray(id) ? id[0] : id;
	}

	setRequestHeaders(headers: Record<string, string | string[]>, call: UpstreamCall): void {
		headers[meshHeaders.deadline] = String(Math.floor(call.timeLeft));
		headers[meshHeaders.attempt] = call.attempt;
	}

	validateResponse(): ResponseValidation {
		return {kind: 'final'};
	}
}
