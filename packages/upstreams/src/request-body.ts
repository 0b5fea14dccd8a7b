/** Reads request bodies. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {type Cancellation} from './cancellation.js';
import {hasBody} from './request-headers.js';

/** Bodies up to this size are buffered, so that they can be sent again in a retry and fingerprinted. */
const maxBufferedBodyBytes = 256 * 1024;

/** A request body: buffered bytes, the incoming request to stream from, or undefined for none. */
export type RequestBody = Buffer | IncomingMessage | undefined;

/** Reads a body like `readBody`; cancels the call if it does not come whole. */
export async function readBodyOrCancel(request: IncomingMessage, cancellation: Cancellation): Promise<RequestBody> {
	try {
		return await readBody(request, cancellation);
	} catch (error) {
		cancellation.cancel(error as Error);
		return undefined;
	}
}

/**
 * Reads a small body into a buffer. For a large body it returns the request,
 * from which the whole body can still be streamed.
 *
 * @throws Error if the connection closes, or the call is cancelled, before the end of the body.
 */
export async function readBody(request: IncomingMessage, cancellation: Cancellation): Promise<RequestBody> {
	if (!hasBody(request)) {
		return undefined;
	}

	if (Number(request.headers['content-length'] ?? 0) > maxBufferedBodyBytes) {
		return request;
	}

	return new Promise((resolve, reject) => {
		const chunks: Buffer[] = [];
		let size = 0;
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
			finish(Buffer.concat(chunks));
		};

		const handleClose = () => {
			fail(new Error('the connection closed before the end of the body'));
		};

		const handleData = (chunk: Buffer) => {
			chunks.push(chunk);
			size += chunk.length;
			if (size > maxBufferedBodyBytes) {
				request.pause();
				finish(request);
				// `unshift` fails after the end of a stream, so the bytes are put back while the stream is paused.
				request.unshift(Buffer.concat(chunks));
			}
		};

		request.on('data', handleData).on('end', handleEnd).on('error', fail).on('close', handleClose);
		cancellation.addListener(fail);
	});
}
