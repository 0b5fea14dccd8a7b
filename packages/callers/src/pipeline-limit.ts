/**
 * Bounds the pipelined requests of each connection. Node's parser emits all requests of a chunk at once, runs them concurrently, and sends the responses in order; it has no
 * bound on their number. Here at most 16 run; those of the same chunk wait, and nothing more is read from the connection meanwhile. The end of a connection that is not read
 * shows only when the next response is sent, so that one request that waited may still run then.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Duplex} from 'node:stream';

/** Number of requests of one connection that run or wait for the responses before theirs. */
export const maxPipelined = 16;

/** The requests of a connection that are not answered yet, in their order. */
type Pipeline = {
	readonly open: Set<ServerResponse>;

	/** Start or drop the requests beyond the limit, in their order. */
	readonly waiting: Array<(mayRun: boolean) => void>;

	/** Whether what follows on the connection can't be read as a request. */
	isBroken: boolean;
};

/** Tracks the requests of all connections. */
export class PipelineLimit {
	readonly #pipelines = new WeakMap<Duplex, Pipeline>();

	/** Adds a request that has arrived. Returns false if a response before its own closes the connection, so that the request must not run: it would get no response. */
	add(request: IncomingMessage, response: ServerResponse): boolean {
		const pipeline = this.#getPipeline(request.socket);
		for (const earlier of pipeline.open) {
			if (!earlier.shouldKeepAlive) {
				return false;
			}
		}

		pipeline.open.add(response);
		response.once('close', () => {
			this.#remove(request.socket, pipeline, response);
		});
		return true;
	}

	/** Waits until a request that was added may run; returns false if it must not run, as its response can't be sent any more. */
	async waitForTurn({socket}: IncomingMessage): Promise<boolean> {
		const pipeline = this.#getPipeline(socket);
		if (pipeline.open.size <= maxPipelined && pipeline.waiting.length === 0) {
			return true;
		}

		socket.pause();
		return new Promise(resolve => {
			pipeline.waiting.push(resolve);
		});
	}

	/**
	 * Handles bytes that are no request, or a body that was cut off. The responses to the requests before are sent first, as a status of 400 in their place would belong to the wrong request.
	 *
	 * @returns The response to the request that was cut off, or undefined if none was; `isLast` is false if the caller must respond with an error and close the connection itself.
	 */
	handleBreak(socket: Duplex): {readonly isLast: boolean; readonly cut?: ServerResponse} {
		const pipeline = this.#getPipeline(socket);
		const open = [...pipeline.open];
		const cut = open.find(response => !response.req.complete);
		if (open.length === 0 || open[0] === cut) {
			return {isLast: false, cut};
		}

		pipeline.isBroken = true;
		socket.pause();
		const last = open.at(-1)!;
		last.shouldKeepAlive = false;
		return {isLast: true, cut};
	}

	#getPipeline(socket: Duplex): Pipeline {
		let pipeline = this.#pipelines.get(socket);
		if (pipeline === undefined) {
			pipeline = {open: new Set(), waiting: [], isBroken: false};
			this.#pipelines.set(socket, pipeline);
			this.#watch(socket, pipeline);
		}

		return pipeline;
	}

	#watch(socket: Duplex, pipeline: Pipeline): void {
		// Node resumes the connection when the body of a request is read to its end.
		socket.on('resume', () => {
			if (pipeline.waiting.length > 0 || pipeline.isBroken) {
				socket.pause();
			}
		});
		socket.once('close', () => {
			for (const start of pipeline.waiting.splice(0)) {
				start(false);
			}

			// Node emits no such event for responses that wait for those before them.
			for (const response of pipeline.open) {
				if (response.socket === null) {
					response.emit('close');
				}
			}
		});
	}

	#remove(socket: Duplex, pipeline: Pipeline, response: ServerResponse): void {
		pipeline.open.delete(response);
		// A response that closes without its end, and an end of either direction, show that the connection closes before its own event does.
		const isClosing = !response.shouldKeepAlive || !response.writableFinished || !socket.writable || !socket.readable;
		if (pipeline.waiting.length > 0) {
			pipeline.waiting.shift()!(!isClosing);
			if (isClosing) {
				for (const start of pipeline.waiting.splice(0)) {
					start(false);
				}
			} else if (pipeline.waiting.length === 0) {
				socket.resume();
			}
		}

		if (pipeline.isBroken && pipeline.open.size === 0 && !socket.destroyed) {
			socket.end();
		}
	}
}
