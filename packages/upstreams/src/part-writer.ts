/** Writes parts of a body to a stream, fewer and larger ones than they arrive in. */
import process from 'node:process';
import {type Writable} from 'node:stream';
import {ByteQueue} from '@ebonylead/base/byte-queue.js';

/** Called when a stream takes no more parts, and when it takes them again. */
export type PartWriterEvents = {
	readonly onFull: () => void;
	readonly onDrain: () => void;
};

/**
 * Writes the parts that arrive in one read of a connection together.
 *
 * Each write is an object in the buffer of the stream, and in chunked coding
 * three writes to its socket, so that parts of one byte cost a hundred times
 * their size.
 */
export class PartWriter {
	readonly #stream: Writable;
	readonly #events: PartWriterEvents;
	readonly #queue = new ByteQueue();
	#isFlushPending = false;
	#isFull = false;

	constructor(stream: Writable, events: PartWriterEvents) {
		this.#stream = stream;
		this.#events = events;
	}

	/** Whether the stream takes no more parts at present. */
	get isFull(): boolean {
		return this.#isFull;
	}

	/** Writes a part after those of the same read. */
	write(part: Uint8Array): void {
		this.#queue.add(part);
		if (!this.#isFlushPending) {
			this.#isFlushPending = true;
			process.nextTick(() => {
				this.#isFlushPending = false;
				this.flush();
			});
		}
	}

	/** Writes at once what has arrived. */
	flush(): void {
		const blocks = this.#queue.takeBlocks();
		if (this.#stream.destroyed) {
			return;
		}

		let canTakeMore = true;
		for (const block of blocks) {
			canTakeMore = this.#stream.write(block);
		}

		if (!canTakeMore && !this.#isFull) {
			this.#isFull = true;
			this.#events.onFull();
			this.#stream.once('drain', () => {
				this.#isFull = false;
				this.#events.onDrain();
			});
		}
	}
}
