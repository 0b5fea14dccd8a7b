/** Forwards one request to one server, and its answer back, for both hops of a call. */
import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders, type IncomingMessage, type ServerResponse} from 'node:http';
import {PassThrough} from 'node:stream';
import {type Dispatcher} from 'undici';
import {type Cancellation} from './cancellation.js';
import {type AnswerVerdict} from './upstream-protocol.js';

/** How a try to forward a request ended. */
export type ForwardResult
	/** The whole answer was passed on. */
	= | {readonly kind: 'answered'; readonly status: number; readonly headers: AnswerHeaders}
	/** The answer was not passed on, as `isWanted` refused it. */
		| {readonly kind: 'rejected'; readonly status: number; readonly headers: AnswerHeaders}
	/** The server said that it did not run the request. */
		| {readonly kind: 'not-run'; readonly reason: string; readonly isOtherInstance: boolean}
	/** No byte of the request was sent. */
		| {readonly kind: 'unsent'; readonly error: Error}
	/** The request may have run; nothing was passed on. */
		| {readonly kind: 'unanswered'; readonly error: Error}
	/** A part of the answer was passed on, and the connection to the caller was cut. */
		| {readonly kind: 'cut'; readonly error: Error};

/** Headers of an answer by lower-case name. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** What to forward, and how. */
export type ForwardOptions = {
	readonly dispatcher: Dispatcher;
	readonly origin: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Record<string, string | string[]>;

	/** The body: bytes that were read, the request to stream from, or nothing. */
	readonly body: Buffer | IncomingMessage | undefined;
	readonly response: ServerResponse;

	/** Ends the call: its deadline passed, or its caller left. */
	readonly cancellation: Cancellation;

	/** Longest time without any byte of the answer in milliseconds. */
	readonly progressTimeout: number;

	/** Judges the head of an answer before anything else is done with it. */
	readonly judgeAnswer?: (status: number, headers: AnswerHeaders) => AnswerVerdict;

	/** Says whether an answer should be passed on to the caller. */
	readonly isWanted: (status: number, headers: AnswerHeaders) => boolean;

	/** Returns headers to add to the answer. */
	readonly buildExtraHeaders: (headers: AnswerHeaders) => Record<string, string>;

	/** Whether headers that only nodes may set are dropped from the answer. */
	readonly isMeshHeaderDropped: boolean;
};

const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Answers up to this size in bytes are passed on only once they are whole, so that a broken one can be replaced. */
const maxHeldAnswer = 256 * 1024;
const firstFinalStatus = 200;
const meshPrefix = 'x-ebonylead-';

/** Says whether a header belongs to one connection only. */
export function isHopByHop(name: string): boolean {
	return hopByHopHeaders.has(name);
}

/** Copies the headers of a request that may travel on, without those that nodes set. */
export function copyRequestHeaders(headers: IncomingHttpHeaders): Record<string, string | string[]> {
	const named = typeof headers.connection === 'string' ? new Set(headers.connection.toLowerCase().split(',').map(name => name.trim())) : undefined;
	const copy: Record<string, string | string[]> = {};
	for (const name in headers) {
		const value = headers[name];
		if (value !== undefined && !hopByHopHeaders.has(name) && name !== 'expect' && !name.startsWith(meshPrefix) && !named?.has(name)) {
			copy[name] = value;
		}
	}

	return copy;
}

/** Forwards one request. The promise is never rejected. */
export async function forwardRequest(options: ForwardOptions): Promise<ForwardResult> {
	return new Promise(resolve => {
		const exchange = new ForwardExchange(options, resolve);
		exchange.start();
	});
}

/** Takes the events of one request at the client, and writes the answer. */
class ForwardExchange implements Dispatcher.DispatchHandler {
	readonly #options: ForwardOptions;
	readonly #finish: (result: ForwardResult) => void;
	#controller: Dispatcher.DispatchController | undefined;
	#abortReason: Error | undefined;
	#copy: PassThrough | undefined;
	#isSent = false;
	#isPassedOn = false;
	#isFinished = false;
	#held: Buffer[] | undefined;
	#heldSize = 0;
	#verdict: AnswerVerdict = {kind: 'final'};
	#status = 0;
	#headers: AnswerHeaders = {};
	#timer: NodeJS.Timeout | undefined;

	constructor(options: ForwardOptions, finish: (result: ForwardResult) => void) {
		this.#options = options;
		this.#finish = finish;
	}

	start(): void {
		const {dispatcher, origin, method, path, headers, body, cancellation} = this.#options;
		if (cancellation.reason) {
			this.#end({kind: 'unsent', error: cancellation.reason});
			return;
		}

		cancellation.addListener(this.#handleCancel);
		try {
			dispatcher.dispatch({
				origin, method, path, headers, body: this.#openBody(body), headersTimeout: 0, bodyTimeout: 0,
			}, this);
		} catch (error) {
			this.#end({kind: 'unsent', error: error as Error});
		}
	}

	/** Called when a connection is there and the request is about to be written. */
	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#abortReason) {
			controller.abort(this.#abortReason);
			return;
		}

		this.#isSent = true;
		this.#startTimerAfterBody();
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: AnswerHeaders): void {
		this.#restartTimer();
		if (status < firstFinalStatus) {
			return;
		}

		this.#status = status;
		this.#headers = headers;
		this.#verdict = this.#options.judgeAnswer?.(status, headers) ?? this.#verdict;
		if (this.#verdict.kind === 'invalid') {
			controller.abort(new Error(this.#verdict.reason));
			return;
		}

		if (this.#verdict.kind === 'not-run' || !this.#options.isWanted(status, headers)) {
			return;
		}

		if (!this.#isEndUnknown(status, headers) && Number(headers['content-length'] ?? 0) <= maxHeldAnswer) {
			this.#held = [];
			return;
		}

		this.#passOn(controller);
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (this.#held) {
			this.#restartTimer();
			this.#hold(controller, this.#held, chunk);
			return;
		}

		if (!this.#isPassedOn) {
			return;
		}

		if (this.#options.response.write(chunk)) {
			this.#restartTimer();
			return;
		}

		// A slow caller is no silent server, so the timer rests until the buffer is empty.
		clearTimeout(this.#timer);
		controller.pause();
		this.#options.response.once('drain', () => {
			this.#restartTimer();
			controller.resume();
		});
	}

	onResponseEnd(): void {
		if (this.#verdict.kind === 'not-run') {
			this.#end({kind: 'not-run', reason: this.#verdict.reason, isOtherInstance: this.#verdict.isOtherInstance ?? false});
			return;
		}

		if (this.#held && !this.#isFinished) {
			this.#passOnHeld(this.#held);
			return;
		}

		if (!this.#isPassedOn) {
			this.#end({kind: 'rejected', status: this.#status, headers: this.#headers});
			return;
		}

		this.#options.response.end();
		this.#end({kind: 'answered', status: this.#status, headers: this.#headers});
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		if (this.#isPassedOn) {
			this.#end({kind: 'cut', error});
			this.#options.response.destroy();
		} else if (this.#verdict.kind === 'not-run') {
			this.#end({kind: 'not-run', reason: this.#verdict.reason, isOtherInstance: this.#verdict.isOtherInstance ?? false});
		} else if (this.#verdict.kind === 'final' && this.#status >= firstFinalStatus && !this.#options.isWanted(this.#status, this.#headers)) {
			this.#end({kind: 'rejected', status: this.#status, headers: this.#headers});
		} else {
			this.#end({kind: this.#isSent ? 'unanswered' : 'unsent', error});
		}
	}

	/**
	 * The client destroys the stream that it is given when an answer comes before
	 * the end of the body. A destroyed request stops the reading of its
	 * connection for good, so the client gets a copy, and what is left is drained.
	 */
	#openBody(body: Buffer | IncomingMessage | undefined): Buffer | PassThrough | null {
		if (body === undefined || Buffer.isBuffer(body)) {
			return body ?? null;
		}

		this.#copy = body.pipe(new PassThrough());
		return this.#copy;
	}

	#closeBody(): void {
		const {body} = this.#options;
		if (this.#copy && body !== undefined && !Buffer.isBuffer(body)) {
			body.unpipe(this.#copy);
			body.resume();
		}
	}

	readonly #handleCancel = (reason: Error) => {
		this.#abort(reason);
	};

	#hold(controller: Dispatcher.DispatchController, held: Buffer[], chunk: Buffer): void {
		held.push(chunk);
		this.#heldSize += chunk.length;
		if (this.#heldSize <= maxHeldAnswer) {
			return;
		}

		this.#held = undefined;
		if (this.#passOn(controller)) {
			this.onResponseData(controller, Buffer.concat(held));
		}
	}

	/** Starts to pass an answer on while its end is still to come. */
	#passOn(controller: Dispatcher.DispatchController): boolean {
		if (this.#isEndUnknown(this.#status, this.#headers)) {
			controller.abort(new Error('the answer has neither a length nor chunks, and is too large to be held until its end'));
			return false;
		}

		this.#isPassedOn = true;
		this.#options.response.writeHead(this.#status, this.#buildAnswerHeaders(this.#headers));
		return true;
	}

	#passOnHeld(held: readonly Buffer[]): void {
		const {response, method} = this.#options;
		const headers = this.#buildAnswerHeaders(this.#headers);
		if (method !== 'HEAD' && !bodilessStatuses.has(this.#status)) {
			headers['content-length'] = String(this.#heldSize);
		}

		response.writeHead(this.#status, headers);
		response.end(Buffer.concat(held));
		this.#end({kind: 'answered', status: this.#status, headers: this.#headers});
	}

	#abort(reason: Error): void {
		this.#abortReason = reason;
		if (this.#controller) {
			this.#controller.abort(reason);
		} else {
			// The request still waits for a connection; `onRequestStart` stops it before a byte is written.
			this.#end({kind: 'unsent', error: reason});
		}
	}

	/** A caller that sends its body slowly is no silent server, so the timer starts at the end of the body. */
	#startTimerAfterBody(): void {
		const {body} = this.#options;
		if (body === undefined || Buffer.isBuffer(body) || body.readableEnded) {
			this.#restartTimer();
		} else {
			body.once('end', () => {
				this.#restartTimer();
			});
		}
	}

	#restartTimer(): void {
		if (this.#isFinished) {
			return;
		}

		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			this.#abort(new ProgressTimeoutError(this.#options.origin, this.#options.progressTimeout));
		}, this.#options.progressTimeout);
	}

	#buildAnswerHeaders(headers: AnswerHeaders): Record<string, string | string[]> {
		const answer: Record<string, string | string[]> = {};
		for (const name in headers) {
			const value = headers[name];
			if (value !== undefined && !hopByHopHeaders.has(name) && !(this.#options.isMeshHeaderDropped && name.startsWith(meshPrefix))) {
				answer[name] = value;
			}
		}

		return Object.assign(answer, this.#options.buildExtraHeaders(headers));
	}

	#isEndUnknown(status: number, headers: AnswerHeaders): boolean {
		return headers['content-length'] === undefined
			&& headers['transfer-encoding'] === undefined
			&& this.#options.method !== 'HEAD'
			&& !bodilessStatuses.has(status);
	}

	#end(result: ForwardResult): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		clearTimeout(this.#timer);
		this.#options.cancellation.removeListener(this.#handleCancel);
		this.#closeBody();
		this.#finish(result);
	}
}

/** No byte of an answer came for too long: the connection may be silent for good. */
export class ProgressTimeoutError extends Error {
	override readonly name = 'ProgressTimeoutError';

	constructor(origin: string, timeout: number) {
		super(`${origin} sent nothing for ${timeout} ms`);
	}
}
