/** What a node and its callers say to each other besides plain HTTP. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {readPositiveInteger, readHeader} from '@ebonylead/upstreams/request-headers.js';
import {sendRefusal} from '@ebonylead/upstreams/refusals.js';
import {meshHeaders, type Refusal} from '@ebonylead/upstreams/upstreams.js';
import {type Either} from 'purify-ts';
import {readRequestTarget, type RequestTarget} from './request-target.js';

/** Speaks to callers. */
export type CallerProtocol = {
	/** Reads where a request goes, or says why it is refused. */
	readTarget(request: IncomingMessage): Either<string, RequestTarget>;

	/** Returns the milliseconds that the caller will wait, or undefined where it does not say. */
	readDeadline(request: IncomingMessage): number | undefined;

	/** Returns the identity of the request, or undefined where it has none. */
	readRequestId(request: IncomingMessage): string | undefined;

	/** Returns who calls. */
	readCaller(request: IncomingMessage): string;

	/** Answers in place of an upstream. */
	sendRefusal(response: ServerResponse, refusal: Refusal): void;
};

/** The product's own protocol towards callers. */
export class OwnCallerProtocol implements CallerProtocol {
	readTarget(request: IncomingMessage): Either<string, RequestTarget> {
		return readRequestTarget(request.url ?? '', request.headers.host);
	}

	readDeadline(request: IncomingMessage): number | undefined {
		return readPositiveInteger(request, meshHeaders.deadline);
	}

	readRequestId(request: IncomingMessage): string | undefined {
		return readHeader(request, meshHeaders.requestId);
	}

	readCaller(request: IncomingMessage): string {
		return readHeader(request, meshHeaders.caller) ?? request.socket.remoteAddress ?? '';
	}

	sendRefusal(response: ServerResponse, refusal: Refusal): void {
		sendRefusal(response, refusal);
	}
}
