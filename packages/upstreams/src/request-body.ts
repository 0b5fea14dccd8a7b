/** Reads request bodies. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {hasBody} from './request-headers.js';

/** Bodies up to this size are buffered, so that they can be sent again in a retry and fingerprinted. */
const maxBufferedBodyBytes = 256 * 1024;

/** A request body: buffered bytes, the incoming request to stream from, or undefined for none. */
export type RequestBody = Buffer | IncomingMessage | undefined;

/**
 * Reads a small body into a buffer. For a large body it returns the request,
 * from which the whole body can still be streamed.
 *
 * @throws Error if the connection closes before the end of the body.
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
				// `unshift` fails after the end of a stream, so the bytes are put back while the stream is paused.
				request.unshift(Buffer.concat(chunks));
			}
		};

		request.on('data', handleData).on('end', handleEnd).on('error', reject).on('close', handleClose);
	});
}
