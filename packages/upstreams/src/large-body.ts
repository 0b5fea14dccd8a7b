/** A request body that is too large to be buffered. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {computeKey} from './fingerprint.js';

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
	#takenBy: PassThrough | undefined;

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

	/** Identifies the body by its length, if that was announced, and its opening. */
	get key(): string {
		return `length ${Number(this.#request.headers['content-length'] ?? 0)} opening ${computeKey(this.#head.subarray(0, openingBytes).toString('latin1'))}`;
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
		if (this.#head.length > openingBytes) {
			copy.write(this.#head.subarray(openingBytes));
		}

		this.#request.pipe(copy);
	}

	/** Ends a copy's use of the body. If the copy had taken the rest, what is left is discarded. */
	release(copy: PassThrough): void {
		if (this.#takenBy === copy) {
			this.#request.unpipe(copy);
			this.#request.resume();
		}
	}

	/** Calls a function when the whole body has arrived. */
	onEnd(listener: () => void): void {
		if (this.#request.readableEnded) {
			listener();
		} else {
			this.#request.once('end', listener);
		}
	}
}
