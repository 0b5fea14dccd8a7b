/** Reads request headers. */
import {type IncomingMessage} from 'node:http';

/** Returns whether a request has a body. */
export function hasBody(request: IncomingMessage): boolean {
	return request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0;
}

/** Returns the value of a header, or its first value if it was repeated. */
export function readHeader(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/** Returns the value of a header as an integer from 1, or undefined if it is none. */
export function readPositiveInteger(request: IncomingMessage, name: string): number | undefined {
	const value = Number(readHeader(request, name));
	return Number.isSafeInteger(value) && value >= 1 ? value : undefined;
}

/** Returns the value of a header as an integer from 0, or undefined if it is none. */
export function readNonNegativeInteger(request: IncomingMessage, name: string): number | undefined {
	const text = readHeader(request, name);
	const value = Number(text);
	return text !== undefined && Number.isSafeInteger(value) && value >= 0 ? value : undefined;
}
