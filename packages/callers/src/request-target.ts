/** Reads the host and the path of a request, and refuses paths that two servers could interpret differently. */
import {Left, Right, type Either} from 'purify-ts';

/** Host and path that a request is matched to a rule by. */
export type RequestTarget = {
	/** Host in lower case without a port. */
	readonly host: string;

	/** Path without the query. */
	readonly path: string;
};

/** Matches an encoded "/", "." or "\", a backslash, and empty, "." or ".." segments. */
const ambiguousPath = /%2[ef]|%5c|\\|\/\/|\/\.{1,2}(?:\/|$)/iv;

/** Reads the target of a request, or returns the reason for a refusal. */
export function readRequestTarget(url: string, hostHeader: string | undefined): Either<string, RequestTarget> {
	if (!url.startsWith('/')) {
		return Left('the request target must start with "/"');
	}

	const queryStart = url.indexOf('?');
	const path = queryStart === -1 ? url : url.slice(0, queryStart);
	if (ambiguousPath.test(path)) {
		return Left(String.raw`the path has empty, "." or ".." segments, a backslash, or an encoded "/", "." or "\"; send the plain path`);
	}

	if (hostHeader === undefined || hostHeader === '') {
		return Left('the header "host" is missing');
	}

	return Right({host: hostHeader.toLowerCase().replace(/:\d+$/v, ''), path});
}
