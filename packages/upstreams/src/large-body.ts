/** A request body that is too large to be buffered. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {ByteQueue} from '@ebonylead/base/byte-queue.js';
import {computeKey} from './fingerprint.js';
import {PartWriter} from './part-writer.js';
import {type ReadAheadBudget} from './read-ahead-budget.js';

/** Number of bytes that are sent with the headers of a request, before its server has asked for the rest. They also identify the body in fingerprints. */
export const openingBytes = 4096;

/**
 * The first bytes of a body, and the request from which the rest can be read once.
 *
 * Until one copy takes the rest, the body can be sent again from its start.
 */
export class LargeBody {
	readonly #head: Buffer;
	readonly #request: IncomingMessage;
	readonly #endListeners: Array<() => void> = [];

	/** What was read ahead after the head. */
	readonly #readAhead = new ByteQueue();

	/** Blocks of it that are still to be sent, once a copy has taken the rest. */
	#unsent: Buffer[] = [];
	#writer: PartWriter | undefined;
	#budget: ReadAheadBudget | undefined;
	#onProgress: (() => void) | undefined;
	#takenBy: PassThrough | undefined;
	#hasSentAll = false;
	#isDiscarded = false;

	/**
	 * @param head Bytes that were read from the request: at least the opening, unless the body ended before.
	 * @param request The paused request, from which all bytes after the head follow.
	 */
	constructor(head: Buffer, request: IncomingMessage) {
		this.#head = head;
		this.#request = request;
	}

	/** Whether a copy has taken the rest; then the body can't be sent again. */
	get isTaken(): boolean {
		return this.#takenBy !== undefined;
	}

	/** Whether the whole body has been read from the request. */
	get isWhole(): boolean {
		return this.#request.readableEnded;
	}

	/** Number of bytes that have been read from the request, until a copy takes the rest. */
	get bytesRead(): number {
		return this.#head.length + this.#readAhead.length;
	}

	/** Announced length in bytes; undefined if the body comes in chunks. */
	get length(): number | undefined {
		const length = this.#request.headers['content-length'];
		return length === undefined ? undefined : Number(length);
	}

	/** Identifies the body by its length, if that was announced, and its opening. */
	get key(): string {
		return `length ${this.length ?? 0} opening ${computeKey(this.#head.subarray(0, openingBytes).toString('latin1'))}`;
	}

	/**
	 * Reads on until a copy takes the rest or the budget is spent, so that the end
	 * of the client's connection, which follows the body, is noticed.
	 *
	 * @param onProgress Called after each part, and at the end of the body.
	 */
	readAhead(budget: ReadAheadBudget, onProgress: () => void): void {
		this.#budget = budget;
		this.#onProgress = onProgress;
		if (!budget.isSpent) {
			this.#request.on('data', this.#handlePart).on('end', onProgress);
			this.#request.resume();
		}
	}

	/** Creates a copy that holds only the opening so far. */
	open(): PassThrough {
		const copy = new PassThrough();
		copy.write(this.#head.subarray(0, openingBytes));
		return copy;
	}

	/** Sends the rest to a copy, as fast as the copy is read. */
	sendRest(copy: PassThrough): void {
		this.#takenBy = copy;
		this.#stopReadingAhead();
		if (this.#head.length > openingBytes) {
			copy.write(this.#head.subarray(openingBytes));
		}

		this.#unsent = this.#readAhead.takeBlocks();
		this.#sendReadAhead(copy);
	}

	/** Ends a copy's use of the body. If the copy had taken the rest, what is left is discarded. */
	release(copy: PassThrough): void {
		if (this.#takenBy === copy) {
			this.discard();
		}
	}

	/** Discards what was not sent, so that the client's connection can be used again. */
	discard(): void {
		this.#isDiscarded = true;
		this.#stopReadingAhead();
		for (const block of [...this.#unsent, ...this.#readAhead.takeBlocks()]) {
			this.#budget?.releaseHeld(block.buffer.byteLength);
		}

		this.#unsent = [];
		this.#request.off('data', this.#forwardPart);
		this.#request.resume();
	}

	/** Calls a function when the whole body has been sent to the copy that took it. */
	onEnd(listener: () => void): void {
		if (this.#hasSentAll) {
			listener();
		} else {
			this.#endListeners.push(listener);
		}
	}

	readonly #handlePart = (part: Buffer) => {
		const heldBefore = this.#readAhead.heldBytes;
		this.#readAhead.add(part);
		this.#budget!.recordHeld(this.#readAhead.heldBytes - heldBefore);
		if (this.#budget!.isSpent) {
			this.#stopReadingAhead();
		}

		this.#onProgress!();
	};

	#stopReadingAhead(): void {
		if (this.#onProgress !== undefined) {
			this.#request.off('data', this.#handlePart).off('end', this.#onProgress);
			this.#request.pause();
		}
	}

	/** Sends what was read ahead, and then what is still to come. */
	#sendReadAhead(copy: PassThrough): void {
		while (!this.#isDiscarded && !copy.destroyed && this.#unsent.length > 0) {
			const block = this.#unsent.shift()!;
			this.#budget!.releaseHeld(block.buffer.byteLength);
			if (!copy.write(block)) {
				copy.once('drain', () => {
					this.#sendReadAhead(copy);
				});
				return;
			}
		}

		if (this.#isDiscarded || copy.destroyed) {
			return;
		}

		if (this.isWhole) {
			copy.end();
			this.#handleSent();
		} else {
			this.#sendFurther(copy);
		}
	}

	/** Sends what the client still sends, as fast as the copy is read. */
	#sendFurther(copy: PassThrough): void {
		const request = this.#request;
		this.#writer = new PartWriter(copy, {
			onFull() {
				request.pause();
			},
			onDrain() {
				request.resume();
			},
		});
		request.on('data', this.#forwardPart);
		request.once('end', () => {
			this.#writer!.flush();
			copy.end();
			this.#handleSent();
		});
		request.resume();
	}

	readonly #forwardPart = (part: Buffer) => {
		this.#writer!.write(part);
	};

	readonly #handleSent = () => {
		this.#hasSentAll = true;
		for (const listener of this.#endListeners) {
			listener();
		}
	};
}
