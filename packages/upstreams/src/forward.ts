/** Forwards one request to one server and the response back to the client; used by both hops of a call. */
import {type Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {ByteQueue} from '@ebonylead/base/byte-queue.js';
import {type Dispatcher} from 'undici';
import {BodyTransfer} from './body-transfer.js';
import {type Cancellation} from './cancellation.js';
import {isHopByHop, isMeshHeader} from './forwarded-headers.js';
import {PartWriter} from './part-writer.js';
import {type RequestBody} from './request-body.js';
import {classifyStatus, isMerged, statusKinds} from './response-head.js';
import {SilenceTimer, type SilenceOptions} from './silence-timer.js';
import {type ResponseValidation} from './upstream-protocol.js';

/** How an attempt to forward a request ended. */
export type ForwardResult
	/** The complete response was forwarded. */
	= | {readonly kind: 'answered'; readonly status: number; readonly headers: ResponseHeaders}
	/** The response was not forwarded, as `isForwardable` returned false; with an error if it broke off. */
		| {readonly kind: 'rejected'; readonly status: number; readonly headers: ResponseHeaders; readonly error?: Error}
	/** The server responded that it did not execute the request. */
		| {readonly kind: 'not-run'; readonly reason: string; readonly isOtherInstance: boolean}
	/** No byte of the request was sent. */
		| {readonly kind: 'unsent'; readonly error: Error}
	/** The request may have been executed; nothing was forwarded. */
		| {readonly kind: 'unanswered'; readonly error: Error}
	/** The response broke off after a part of it was forwarded, and the connection to the client was closed. */
		| {readonly kind: 'cut'; readonly error: Error};

/** Headers of a response by lower-case name. */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** The request to forward, and how its response is handled. */
export type ForwardOptions = {
	readonly dispatcher: Dispatcher;
	readonly origin: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Record<string, string | string[]>;
	readonly body: RequestBody;

	/** Whether only the opening of a large body is sent until an interim response asks for the rest. */
	readonly isRestHeldBack?: boolean;

	/** Response to the client. */
	readonly response: ServerResponse;

	/** Aborts the request when the deadline of the call passes or its caller disconnects. */
	readonly cancellation: Cancellation;

	/** Watches for silence of the server; it does not end the request. Undefined if nothing depends on it. */
	readonly silence?: SilenceOptions;

	/** Called before the first byte of the response is written to the client. */
	readonly onForward?: () => void;

	/** Classifies a response by its status and headers before it is handled any further. */
	readonly validateResponse?: (status: number, headers: ResponseHeaders) => ResponseValidation;

	/** Returns whether a response is forwarded to the client. */
	readonly isForwardable: (status: number, headers: ResponseHeaders) => boolean;

	/** Returns headers to add to the forwarded response. */
	readonly buildExtraHeaders: (headers: ResponseHeaders) => Record<string, string>;

	/** Whether to remove headers that only nodes may set from the response. */
	readonly removeMeshHeaders: boolean;
};

const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);

/** Responses up to this size are buffered until they are complete, so that a call whose response breaks off can still be retried or refused. */
const maxBufferedResponseBytes = 256 * 1024;

/** Maximum number of interim responses to one request; a sidecar of an earlier version sends ten a second. */
const maxInterimResponses = 1000;

/** Returns whether the last transfer coding is `chunked`; the end of a body in any other one is the end of its connection. */
function isChunked(transferEncoding: string | string[] | undefined): boolean {
	const codings = Array.isArray(transferEncoding) ? transferEncoding.join(',') : transferEncoding ?? '';
	return codings.split(',').at(-1)!.trim().toLowerCase() === 'chunked';
}

/** Forwards one request. The promise is never rejected. */
export async function forwardRequest(options: ForwardOptions): Promise<ForwardResult> {
	return new Promise(resolve => {
		const exchange = new ForwardExchange(options, resolve);
		exchange.start();
	});
}

/** Handles the events of one forwarded request and writes its response to the client. */
class ForwardExchange implements Dispatcher.DispatchHandler {
	readonly #options: ForwardOptions;
	readonly #onEnd: (result: ForwardResult) => void;
	readonly #silenceTimer: SilenceTimer | undefined;
	readonly #body: BodyTransfer;
	#controller: Dispatcher.DispatchController | undefined;
	#abortReason: Error | undefined;
	#isSent = false;
	#isFinished = false;

	/** What has arrived of a response that is not forwarded before it is complete. */
	#buffered: ByteQueue | undefined;

	/** Forwards the parts of a response that has been started. */
	#writer: PartWriter | undefined;
	#interimCount = 0;
	#validation: ResponseValidation = {kind: 'final'};
	#hasFinalHead = false;
	#status = 0;
	#headers: ResponseHeaders = {};

	constructor(options: ForwardOptions, onEnd: (result: ForwardResult) => void) {
		this.#options = options;
		this.#onEnd = onEnd;
		this.#silenceTimer = options.silence && new SilenceTimer(options.silence);
		this.#body = new BodyTransfer(options.body, options.isRestHeldBack ?? false);
	}

	start(): void {
		const {dispatcher, origin, method, path, headers, cancellation} = this.#options;
		if (cancellation.reason) {
			this.#end({kind: 'unsent', error: cancellation.reason});
			return;
		}

		cancellation.addListener(this.#handleCancel);
		try {
			dispatcher.dispatch({
				origin, method, path, headers, body: this.#body.payload, headersTimeout: 0, bodyTimeout: 0,
			}, this);
		} catch (error) {
			this.#end({kind: 'unsent', error: error as Error});
		}
	}

	/** Called when a connection is available and the request is about to be written. */
	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#abortReason) {
			controller.abort(this.#abortReason);
			return;
		}

		this.#isSent = true;
		this.#startSilenceTimerAfterBody();
	}

	onResponseStart(controller: Dispatcher.DispatchController, status: number, headers: ResponseHeaders, reasonPhrase?: string): void {
		this.#restartSilenceTimer();
		if (isMerged(reasonPhrase, headers)) {
			this.#validation = {kind: 'invalid', reason: 'the answer begins with another one that broke off', isForeign: true};
			controller.abort(new Error(this.#validation.reason));
			return;
		}

		const kind = classifyStatus(status);
		if (kind === statusKinds.invalid) {
			this.#validation = {kind: 'invalid', reason: `status ${status} is not a valid status of a response`};
			controller.abort(new Error(this.#validation.reason));
			return;
		}

		if (kind === statusKinds.interim) {
			this.#handleInterimResponse(controller);
			return;
		}

		this.#hasFinalHead = true;
		this.#status = status;
		this.#headers = headers;
		this.#validation = this.#options.validateResponse?.(status, headers) ?? this.#validation;
		if (this.#validation.kind === 'invalid') {
			controller.abort(new Error(this.#validation.reason));
			return;
		}

		if (this.#validation.kind === 'not-run') {
			if (this.#validation.isLastOnConnection) {
				controller.abort(new Error(this.#validation.reason));
			}

			return;
		}

		if (!this.#options.isForwardable(status, headers)) {
			return;
		}

		if (!this.#isCloseDelimited(status, headers) && Number(headers['content-length'] ?? 0) <= maxBufferedResponseBytes) {
			this.#buffered = new ByteQueue();
			return;
		}

		this.#startResponse(controller);
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (this.#buffered) {
			this.#restartSilenceTimer();
			this.#bufferChunk(controller, this.#buffered, chunk);
		} else if (this.#writer) {
			// A slow client must not count as a silent server, so the timer is stopped until the write buffer has drained.
			if (!this.#writer.isFull) {
				this.#restartSilenceTimer();
			}

			this.#writer.write(chunk);
		}
	}

	onResponseEnd(): void {
		if (this.#validation.kind === 'not-run') {
			this.#end({kind: 'not-run', reason: this.#validation.reason, isOtherInstance: this.#validation.isOtherInstance ?? false});
			return;
		}

		if (this.#buffered && !this.#isFinished) {
			this.#sendBuffered(this.#buffered);
			return;
		}

		if (!this.#hasFinalHead) {
			this.#end({kind: 'unanswered', error: new Error('the response ended before its head')});
			return;
		}

		if (!this.#writer) {
			this.#end({kind: 'rejected', status: this.#status, headers: this.#headers});
			return;
		}

		this.#writer.flush();
		this.#options.response.end();
		this.#end({kind: 'answered', status: this.#status, headers: this.#headers});
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		if (this.#writer) {
			this.#end({kind: 'cut', error});
			this.#options.response.destroy();
		} else if (this.#validation.kind === 'not-run') {
			this.#end({kind: 'not-run', reason: this.#validation.reason, isOtherInstance: this.#validation.isOtherInstance ?? false});
		} else if (this.#validation.kind === 'final' && this.#hasFinalHead && !this.#options.isForwardable(this.#status, this.#headers)) {
			this.#end({
				kind: 'rejected', status: this.#status, headers: this.#headers, error,
			});
		} else {
			this.#end({kind: this.#isSent ? 'unanswered' : 'unsent', error});
		}
	}

	#handleInterimResponse(controller: Dispatcher.DispatchController): void {
		this.#interimCount++;
		this.#sendRest();
		if (this.#interimCount > maxInterimResponses) {
			controller.abort(new Error(`more than ${maxInterimResponses} interim responses`));
		}
	}

	/** Sends the rest of a body that was held back, as the server has asked for it. */
	#sendRest(): void {
		if (this.#body.isRestHeldBack) {
			this.#body.sendRest();
			this.#silenceTimer?.stop();
			this.#startSilenceTimerAfterBody();
		}
	}

	readonly #handleCancel = (reason: Error) => {
		this.#abort(reason);
	};

	#bufferChunk(controller: Dispatcher.DispatchController, buffered: ByteQueue, chunk: Buffer): void {
		buffered.add(chunk);
		if (buffered.length <= maxBufferedResponseBytes) {
			return;
		}

		this.#buffered = undefined;
		this.#startResponse(controller);
		for (const block of buffered.takeBlocks()) {
			this.#writer?.write(block);
		}
	}

	/** Starts to forward a response of which a part is still to arrive. */
	#startResponse(controller: Dispatcher.DispatchController): void {
		if (this.#abortReason) {
			return;
		}

		if (this.#isCloseDelimited(this.#status, this.#headers)) {
			controller.abort(new Error('the answer has neither a length nor chunks, and is too large to be held until its end'));
			return;
		}

		this.#writer = this.#createWriter(controller);
		this.#options.onForward?.();
		this.#options.response.writeHead(this.#status, this.#buildResponseHeaders(this.#headers));
	}

	#createWriter(controller: Dispatcher.DispatchController): PartWriter {
		return new PartWriter(this.#options.response, {
			onFull: () => {
				this.#silenceTimer?.stop();
				controller.pause();
			},
			onDrain: () => {
				this.#restartSilenceTimer();
				controller.resume();
			},
		});
	}

	#sendBuffered(buffered: ByteQueue): void {
		if (this.#abortReason) {
			this.#end({kind: 'unanswered', error: this.#abortReason});
			return;
		}

		const {response, method} = this.#options;
		const headers = this.#buildResponseHeaders(this.#headers);
		if (method !== 'HEAD' && !bodilessStatuses.has(this.#status)) {
			headers['content-length'] = String(buffered.length);
		}

		this.#options.onForward?.();
		response.writeHead(this.#status, headers);
		response.end(buffered.take());
		this.#end({kind: 'answered', status: this.#status, headers: this.#headers});
	}

	#abort(reason: Error): void {
		this.#abortReason = reason;
		if (this.#controller) {
			this.#controller.abort(reason);
		} else {
			// The request is still waiting for a connection; `onRequestStart` aborts it before any byte is written.
			this.#end({kind: 'unsent', error: reason});
		}
	}

	/** Starts the timer at the end of the body, as a client that sends slowly must not make the server count as silent. */
	#startSilenceTimerAfterBody(): void {
		this.#body.onSent(() => {
			this.#restartSilenceTimer();
		});
	}

	#restartSilenceTimer(): void {
		if (!this.#isFinished) {
			this.#silenceTimer?.start();
		}
	}

	#buildResponseHeaders(headers: ResponseHeaders): Record<string, string | string[]> {
		const responseHeaders: Record<string, string | string[]> = {};
		for (const name in headers) {
			const value = headers[name];
			if (value !== undefined && !isHopByHop(name) && !(this.#options.removeMeshHeaders && isMeshHeader(name))) {
				responseHeaders[name] = value;
			}
		}

		return Object.assign(responseHeaders, this.#options.buildExtraHeaders(headers));
	}

	#isCloseDelimited(status: number, headers: ResponseHeaders): boolean {
		return headers['content-length'] === undefined
			&& !isChunked(headers['transfer-encoding'])
			&& this.#options.method !== 'HEAD'
			&& !bodilessStatuses.has(status);
	}

	#end(result: ForwardResult): void {
		if (this.#isFinished) {
			return;
		}

		this.#isFinished = true;
		this.#silenceTimer?.stop();
		this.#options.cancellation.removeListener(this.#handleCancel);
		this.#body.stop();
		this.#onEnd(result);
	}
}
