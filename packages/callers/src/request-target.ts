/** Reads the host and the path of a request, and refuses those that two readers could take in two ways. */
import {Left, Right, type Either} from 'purify-ts';

/** Where a request goes. */
export type RequestTarget = {
	/** Host in lower case without a port. */
	readonly host: string;

	/** Path without the query. */
	readonly path: string;
};

const ambiguousPath = /%2[ef]|%5c|\\|\/\/|\/\.{1,2}(?:\/|$)/iv;

/** Reads the target of a request, or says why it is refused. */
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
