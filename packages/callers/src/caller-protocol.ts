/** The headers that a node and its callers exchange on top of plain HTTP. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {readPositiveInteger, readHeader} from '@ebonylead/upstreams/request-headers.js';
import {sendRefusal} from '@ebonylead/upstreams/refusals.js';
import {defaultKeyHeader} from '@ebonylead/upstreams/upstream-protocol.js';
import {meshHeaders, type Refusal} from '@ebonylead/upstreams/upstreams.js';
import {type Either} from 'purify-ts';
import {type OrganisationHeaders} from './organisation-check.js';
import {readRequestTarget, type RequestTarget} from './request-target.js';

/** Reads requests of callers and sends refusals to them; each implementation has its own headers. */
export type CallerProtocol = {
	/** The headers by which callers and upstreams identify organisations. */
	readonly organisationHeaders: OrganisationHeaders;

	/** Reads the host and the path of a request, or returns the reason for a refusal. */
	readTarget(request: IncomingMessage): Either<string, RequestTarget>;

	/** Returns how long the caller waits in milliseconds, or undefined if the request does not say. */
	readDeadline(request: IncomingMessage): number | undefined;

	/** Returns the identifier of the request, or undefined if it has none. */
	readRequestId(request: IncomingMessage): string | undefined;

	/** Returns the name of the caller, for fairness between callers. */
	readCaller(request: IncomingMessage): string;

	/** Returns whether callers take a response with a status for a promise that their request has not run, whoever gave it. */
	isNotRunStatus(status: number): boolean;

	/** Sends a refusal in place of an upstream's response. */
	sendRefusal(response: ServerResponse, refusal: Refusal): void;
};

/** The default protocol, with `x-ebonylead-` headers. */
export class DefaultCallerProtocol implements CallerProtocol {
	readonly organisationHeaders: OrganisationHeaders = {key: defaultKeyHeader, name: meshHeaders.organisation};

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

	/** Callers go by the header `outcome`, not by statuses. */
	isNotRunStatus(): boolean {
		return false;
	}

	sendRefusal(response: ServerResponse, refusal: Refusal): void {
		sendRefusal(response, refusal);
	}
}
