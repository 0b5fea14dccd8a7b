/** Writes the responses with which ebonylead refuses calls. */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {meshHeaders, type Refusal} from './upstreams.js';

const millisecondsPerSecond = 1000;

/** Characters that a header can't have, or that not all parsers accept. */
const unprintable = /[^ -~]+/gv;

/**
 * Sends a refusal as the response to a call.
 *
 * If a response has already been started, the connection is closed instead, so
 * that a caller never takes a truncated response for a complete one.
 */
export function sendRefusal(response: ServerResponse, refusal: Refusal): void {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	if (response.destroyed) {
		return;
	}

	const body = JSON.stringify({outcome: refusal.outcome, reason: refusal.reason});
	const headers: Record<string, string | number> = {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(body),
		[meshHeaders.outcome]: refusal.outcome,
		[meshHeaders.reason]: buildHeaderText(refusal.reason),
	};
	if (refusal.retryAfter !== undefined) {
		headers[meshHeaders.retryAfter] = refusal.retryAfter;
		headers['retry-after'] = Math.max(1, Math.ceil(refusal.retryAfter / millisecondsPerSecond));
	}

	if (refusal.hasReachedUpstream) {
		headers[meshHeaders.arrived] = '1';
	}

	if (refusal.lacking !== undefined) {
		headers[meshHeaders.full] = refusal.lacking;
	}

	if (refusal.isContended) {
		headers[meshHeaders.contended] = '1';
	}

	response.writeHead(refusal.status, headers);
	response.end(body);
}

/** Builds the value of a header from a text of any characters, such as the message of an error. */
function buildHeaderText(text: string): string {
	return text.replaceAll(unprintable, ' ').trim();
}
