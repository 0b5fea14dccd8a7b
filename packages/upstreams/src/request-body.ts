/** Reads bodies of requests. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {hasBody} from './request-headers.js';

/** Bodies up to this size in bytes are kept, so that they can be sent again and fingerprinted. */
const maxBufferedBodyBytes = 256 * 1024;

/** A body: bytes that were read whole, the request to stream from, or nothing. */
export type RequestBody = Buffer | IncomingMessage | undefined;

/**
 * Reads a small body whole; a large one is left to be streamed from its start.
 *
 * @throws Error when the connection ends before the body.
 */
export async function readBody(request: IncomingMessage): Promise<RequestBody> {
	if (!hasBody(request)) {
		return undefined;
	}

	if (Number(request.headers['content-length'] ?? 0) > maxBufferedBodyBytes) {
		return request;
	}

	return new Promise((resolve, reject) => {
		const chunks: Buffer[] = [];
		let size = 0;
		const finish = (body: RequestBody) => {
			request.off('data', handleData).off('end', handleEnd).off('error', reject).off('close', handleClose);
			resolve(body);
		};

		const handleEnd = () => {
			finish(Buffer.concat(chunks));
		};

		const handleClose = () => {
			reject(new Error('the connection closed before the end of the body'));
		};

		const handleData = (chunk: Buffer) => {
			chunks.push(chunk);
			size += chunk.length;
			if (size > maxBufferedBodyBytes) {
				request.pause();
				finish(request);
				// A stream that has ended takes nothing back, so the bytes are put back while it is paused.
				request.unshift(Buffer.concat(chunks));
			}
		};

		request.on('data', handleData).on('end', handleEnd).on('error', reject).on('close', handleClose);
	});
}
