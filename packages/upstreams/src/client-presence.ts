/** Tells whether the client of a request is still there when the request is handled. */
import {type IncomingMessage} from 'node:http';

/**
 * Turns of the event loop in which the end of a connection is read that arrived
 * together with a request: one reads the request, the next one the end.
 */
const turnCount = 2;

/**
 * Waits until the event loop has read what had arrived with a request, and
 * returns whether its client is still connected. After a pause of this process,
 * the request and the end of its connection arrive together.
 */
export async function isClientConnected(request: IncomingMessage): Promise<boolean> {
	for (let turn = 0; turn < turnCount; turn++) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	const {socket} = request;
	return !socket.destroyed && !socket.readableEnded;
}
