/** Reads the requests of one connection of an upstream that writes its answers byte by byte. */
import {Buffer} from 'node:buffer';

const headEnd = '\r\n\r\n';

/**
 * Calls a function for each whole request of a connection, with its id, method and path, before it is answered.
 *
 * @param onRequest Gets `{id, method, path}`.
 */
export function readRequests(socket, onRequest) {
	let bytes = Buffer.alloc(0);
	socket.on('error', () => undefined);
	socket.on('data', part => {
		bytes = Buffer.concat([bytes, part]);
		for (;;) {
			const end = bytes.indexOf(headEnd);
			if (end === -1) {
				return;
			}

			const head = bytes.toString('latin1', 0, end);
			const length = Number(readHeader(head, 'content-length') ?? 0);
			if (bytes.length < end + headEnd.length + length) {
				return;
			}

			bytes = bytes.subarray(end + headEnd.length + length);
			const [method, path] = head.split(' ', 2);
			onRequest({id: readHeader(head, 'request-id'), method, path});
		}
	});
}

function readHeader(head, name) {
	const line = head.split('\r\n').slice(1).find(text => text.toLowerCase().startsWith(`${name}:`));
	return line?.slice(name.length + 1).trim();
}
