/** Reads texts from streams whose senders are not trusted to end them. */
import {ByteQueue} from './byte-queue.js';
import {StepError} from './errors.js';

/**
 * Reads a stream to its end as UTF-8.
 *
 * @param sender Name of the sender, for errors.
 * @throws StepError if the stream has more bytes than the maximum; no more is read then.
 */
export async function readBoundedText(stream: AsyncIterable<Uint8Array>, maxBytes: number, sender: string): Promise<string> {
	const queue = new ByteQueue();
	for await (const part of stream) {
		if (queue.length + part.length > maxBytes) {
			throw new StepError('read', sender, `more than ${maxBytes} bytes`);
		}

		queue.add(part);
	}

	return queue.take().toString();
}
