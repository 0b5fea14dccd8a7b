/** Reads texts from streams whose senders are not trusted to end them. */
import {Buffer} from 'node:buffer';
import {StepError} from './errors.js';

/**
 * Reads a stream to its end as UTF-8.
 *
 * @param sender Name of the sender, for errors.
 * @throws StepError if the stream has more bytes than the maximum; no more is read then.
 */
export async function readBoundedText(stream: AsyncIterable<Uint8Array>, maxBytes: number, sender: string): Promise<string> {
	const parts: Uint8Array[] = [];
	let size = 0;
	for await (const part of stream) {
		size += part.length;
		if (size > maxBytes) {
			throw new StepError('read', sender, `more than ${maxBytes} bytes`);
		}

		parts.push(part);
	}

	return Buffer.concat(parts).toString();
}
