/** Holds bytes that arrive in parts of any size. */
import {Buffer} from 'node:buffer';

/** Sizes of the blocks that small parts are copied into, in bytes; each block is as large as what is held before it, or as the part that opens it, within these bounds. */
const minBlockBytes = 1024;
const maxBlockBytes = 16 * 1024;

/**
 * A queue of bytes whose memory depends on their number, and hardly on the parts that they arrive in.
 *
 * Small parts are copied together. A part of one byte is otherwise an object of
 * over a hundred bytes, and keeps the whole memory alive that it is a view of.
 */
export class ByteQueue {
	#blocks: Buffer[] = [];

	/** Block that small parts are copied into, and how many of its bytes are used; it follows `#blocks`. */
	#tail: Buffer | undefined;
	#tailBytes = 0;
	#length = 0;
	#heldBytes = 0;

	/** Number of bytes in the queue. */
	get length(): number {
		return this.#length;
	}

	/** Memory in bytes that the queue keeps alive: at most twice its length, and a block more. */
	get heldBytes(): number {
		return this.#heldBytes;
	}

	/** Adds a part. It may be kept without a copy, so its bytes must not change later. */
	add(part: Uint8Array): void {
		this.#length += part.length;
		if (isKeptWithoutCopy(part)) {
			this.#closeShortTail();
			this.#blocks.push(Buffer.from(part.buffer, part.byteOffset, part.length));
			this.#heldBytes += part.buffer.byteLength;
			return;
		}

		let offset = 0;
		while (offset < part.length) {
			const tail = this.#tail ?? this.#openTail(part.length - offset);
			const count = Math.min(part.length - offset, tail.length - this.#tailBytes);
			tail.set(part.subarray(offset, offset + count), this.#tailBytes);
			offset += count;
			this.#tailBytes += count;
			if (this.#tailBytes === tail.length) {
				this.#closeTail();
			}
		}
	}

	/** Removes all bytes from the queue, and returns them in blocks. */
	takeBlocks(): Buffer[] {
		this.#closeTail();
		const blocks = this.#blocks;
		this.#blocks = [];
		this.#length = 0;
		this.#heldBytes = 0;
		return blocks;
	}

	/** Removes all bytes from the queue, and returns them in one buffer. */
	take(): Buffer {
		const blocks = this.takeBlocks();
		return blocks.length === 1 ? blocks[0]! : Buffer.concat(blocks);
	}

	#openTail(neededBytes: number): Buffer {
		const size = Math.min(maxBlockBytes, Math.max(minBlockBytes, this.#heldBytes, neededBytes));
		// Not from the pool of Node, whose slabs are shared with others and live as long as any part of them.
		this.#tail = Buffer.allocUnsafeSlow(size);
		this.#tailBytes = 0;
		this.#heldBytes += size;
		return this.#tail;
	}

	/** Closes a block that is not full, without its unused bytes. */
	#closeShortTail(): void {
		if (this.#tail !== undefined) {
			const used = Buffer.allocUnsafeSlow(this.#tailBytes);
			this.#tail.copy(used, 0, 0, this.#tailBytes);
			this.#heldBytes -= this.#tail.length - used.length;
			this.#tail = used;
			this.#closeTail();
		}
	}

	#closeTail(): void {
		if (this.#tail !== undefined) {
			this.#blocks.push(this.#tail.subarray(0, this.#tailBytes));
			this.#tail = undefined;
		}
	}
}

/** Returns whether a part is large, and most of the memory that it keeps alive is its own. */
function isKeptWithoutCopy(part: Uint8Array): boolean {
	return part.length >= maxBlockBytes && part.buffer.byteLength <= 2 * part.length;
}
