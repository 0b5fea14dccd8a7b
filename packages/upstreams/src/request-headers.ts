/** Reads headers of requests. */
import {type IncomingMessage} from 'node:http';

/** Says whether a request has a body. */
export function hasBody(request: IncomingMessage): boolean {
	return request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0;
}

/** Returns a header that should come once. */
export function readHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/** Returns a header with a whole number from 1, or undefined. */
export function readPositiveInteger(request: IncomingMessage, name: string): number | undefined {
	const value = Number(readHeader(request, name));
	return Number.isSafeInteger(value) && value >= 1 ? value : undefined;
}

/** Returns a header with a whole number from 0, or undefined. */
export function readNonNegativeInteger(request: IncomingMessage, name: string): number | undefined {
	const text = readHeader(request, name);
	const value = Number(text);
	return text !== undefined && Number.isSafeInteger(value) && value >= 0 ? value : undefined;
}
