/** Decides which headers are forwarded. */
import {type IncomingHttpHeaders} from 'node:http';

const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

/** Prefix of the headers that only nodes may set. */
const meshHeaderPrefix = 'x-ebonylead-';

/** Returns whether a header is hop-by-hop, that is, applies to a single connection only. */
export function isHopByHop(name: string): boolean {
	return hopByHopHeaders.has(name);
}

/** Returns whether only nodes may set a header. */
export function isMeshHeader(name: string): boolean {
	return name.startsWith(meshHeaderPrefix);
}

/** Copies the end-to-end headers of a request, without those that only nodes may set. */
export function copyRequestHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
	const connectionOptions = typeof headers.connection === 'string' ? new Set(headers.connection.toLowerCase().split(',').map(name => name.trim())) : undefined;
	const copy: Record<string, string | string[]> = {};
	for (const name in headers) {
		const value = headers[name];
		if (value !== undefined && !isHopByHop(name) && name !== 'expect' && !isMeshHeader(name) && !connectionOptions?.has(name)) {
			copy[name] = value;
		}
	}

	return copy;
}
