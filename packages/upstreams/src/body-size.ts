/** Checks the size of a body against a limit while it arrives. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/** Reason to cancel a call whose body exceeds the limit. */
export class BodyTooLargeError extends Error {
	override readonly name = 'BodyTooLargeError';
}

/** Calls a function once if the body of a request exceeds a limit. Only for bodies without a length: others are refused by their header. */
export function watchBodySize(request: IncomingMessage, maxBytes: number, onExceeded: (error: BodyTooLargeError) => void): void {
	let size = 0;
	const handleData = (part: Buffer) => {
		size += part.length;
		if (size > maxBytes) {
			request.off('data', handleData);
			onExceeded(new BodyTooLargeError(`the body has more than ${maxBytes} bytes, which are the most that are taken`));
		}
	};

	request.prependListener('data', handleData);
}
