/** Reads request bodies. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {ByteQueue} from '@ebonylead/base/byte-queue.js';
import {type Cancellation} from './cancellation.js';
import {LargeBody, openingBytes} from './large-body.js';
import {hasBody} from './request-headers.js';

/** Bodies up to this size are buffered, so that they can be sent again in a retry and fingerprinted. */
const maxBufferedBodyBytes = 256 * 1024;

/** A request body: buffered bytes, a large body to stream, or undefined for none. */
export type RequestBody = Buffer | LargeBody | undefined;

/** Reads a body like `readBody`; cancels the call if it does not come whole. */
export async function readBodyOrCancel(request: IncomingMessage, cancellation: Cancellation, isRestHeldBack = false): Promise<RequestBody> {
	try {
		return await readBody(request, cancellation, isRestHeldBack);
	} catch (error) {
		cancellation.cancel(error as Error);
		return undefined;
	}
}

/** Discards what is left of the body of a call that has ended, so that the connection can be used again. */
export function discardBody(request: IncomingMessage, body: RequestBody): void {
	if (body instanceof LargeBody) {
		body.discard();
	} else {
		request.resume();
	}
}

/**
 * Reads a small body into a buffer. Of a large body it reads only the opening.
 *
 * @param isRestHeldBack Whether the client sends only the opening until it is asked for the rest.
 * @throws Error if the connection closes, or the call is cancelled, before the end of the body.
 */
export async function readBody(request: IncomingMessage, cancellation: Cancellation, isRestHeldBack = false): Promise<RequestBody> {
	if (!hasBody(request)) {
		return undefined;
	}

	const isLarge = isRestHeldBack || Number(request.headers['content-length'] ?? 0) > maxBufferedBodyBytes;
	const maxBytes = isLarge ? openingBytes - 1 : maxBufferedBodyBytes;

	return new Promise((resolve, reject) => {
		const queue = new ByteQueue();
		const removeListeners = () => {
			request.off('data', handleData).off('end', handleEnd).off('error', fail).off('close', handleClose);
			cancellation.removeListener(fail);
		};

		const finish = (body: RequestBody) => {
			removeListeners();
			resolve(body);
		};

		const fail = (reason: Error) => {
			removeListeners();
			reject(reason);
		};

		const handleEnd = () => {
			finish(queue.take());
		};

		const handleClose = () => {
			fail(new Error('the connection closed before the end of the body'));
		};

		const handleData = (chunk: Buffer) => {
			queue.add(chunk);
			if (queue.length > maxBytes) {
				request.pause();
				finish(new LargeBody(queue.take(), request));
			}
		};

		request.on('data', handleData).on('end', handleEnd).on('error', fail).on('close', handleClose);
		cancellation.addListener(fail);
	});
}
