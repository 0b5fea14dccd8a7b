/** Sends the body of one forwarded request. */
import {type Buffer} from 'node:buffer';
import {type PassThrough} from 'node:stream';
import {LargeBody} from './large-body.js';
import {type RequestBody} from './request-body.js';

/**
 * What undici reads as the body of one request.
 *
 * Undici destroys a body stream when a response arrives before the end of the
 * body. Destroying the incoming request would stop all further reading from its
 * connection, so undici gets a copy, and the rest is drained.
 */
export class BodyTransfer {
	readonly #body: RequestBody;
	readonly #copy: PassThrough | undefined;
	#isRestHeldBack: boolean;

	/** @param isRestHeldBack Whether only the opening of a large body is sent until `sendRest` is called. */
	constructor(body: RequestBody, isRestHeldBack: boolean) {
		this.#body = body;
		this.#isRestHeldBack = isRestHeldBack && body instanceof LargeBody;
		if (body instanceof LargeBody) {
			this.#copy = body.open();
			if (!isRestHeldBack) {
				body.sendRest(this.#copy);
			}
		}
	}

	/** The body for undici. */
	get payload(): Buffer | PassThrough | null {
		return this.#body instanceof LargeBody ? this.#copy! : this.#body ?? null;
	}

	/** Whether the rest of the body is held back. */
	get isRestHeldBack(): boolean {
		return this.#isRestHeldBack;
	}

	/** Sends the rest of a large body that was held back. */
	sendRest(): void {
		if (this.#isRestHeldBack && this.#body instanceof LargeBody) {
			this.#isRestHeldBack = false;
			this.#body.sendRest(this.#copy!);
		}
	}

	/** Calls a function when the server has no more of the body to wait for: at once, unless the rest of a large body is being sent. */
	onSent(listener: () => void): void {
		if (this.#body instanceof LargeBody && !this.#isRestHeldBack) {
			this.#body.onEnd(listener);
		} else {
			listener();
		}
	}

	/** Stops sending; what is left of a body that was being sent is discarded. */
	stop(): void {
		if (this.#body instanceof LargeBody) {
			this.#body.release(this.#copy!);
		}
	}
}
