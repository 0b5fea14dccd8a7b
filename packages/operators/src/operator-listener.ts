/** HTTP listener for operators and their tools. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {json} from 'node:stream/consumers';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {listenOn} from '@ebonylead/base/listening.js';
import {type OperatorHandlers, type SubmitRequest} from './operators.js';

const maxSubmissionBytes = 8 * 1024 * 1024;
const statusBadRequest = 400;
const statusNotFound = 404;
const statusPayloadTooLarge = 413;
const statusInternalServerError = 500;
const statusUnavailable = 503;

/** Serves `/submit`, `/status`, `/rules`, `/explain`, `/report`, `/metrics` and `/ready`. */
export class OperatorListener {
	readonly #handlers: OperatorHandlers;
	readonly #log: Logger;
	readonly #server: Server;

	constructor(handlers: OperatorHandlers, log: Logger) {
		this.#handlers = handlers;
		this.#log = log;
		this.#server = createServer((request, response) => {
			void this.#handleRequest(request, response);
		});
	}

	/**
	 * Starts to listen.
	 *
	 * @throws StepError when the port can't be used.
	 */
	async listen(host: string, port: number): Promise<void> {
		await listenOn(this.#server, host, port, 'listen for operators');
	}

	/** Stops listening, and closes open connections. */
	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			await this.#sendResponse(request, response);
		} catch (error) {
			this.#log.warn(`Request ${request.method} ${request.url} failed: ${describeError(error)}`);
			if (response.headersSent) {
				response.destroy();
			} else {
				response.writeHead(statusInternalServerError).end(`${describeError(error)}\n`);
			}
		}
	}

	async #sendResponse(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://node');
		switch (`${request.method} ${url.pathname}`) {
			case 'POST /submit': {
				await this.#handleSubmit(request, response);
				return;
			}

			case 'GET /status': {
				sendJson(response, await this.#handlers.buildStatus());
				return;
			}

			case 'GET /rules': {
				response.end(this.#handlers.formatRules());
				return;
			}

			case 'GET /explain': {
				this.#handleExplain(url, response);
				return;
			}

			case 'GET /report': {
				sendJson(response, await this.#handlers.buildReport());
				return;
			}

			case 'GET /metrics': {
				response.setHeader('content-type', 'text/plain; version=0.0.4');
				response.end(await this.#handlers.formatMetrics());
				return;
			}

			case 'GET /ready': {
				const isReady = this.#handlers.isReady();
				response.writeHead(isReady ? 200 : statusUnavailable).end(isReady ? 'ready\n' : 'not ready\n');
				return;
			}

			default: {
				response.writeHead(statusNotFound).end('Known are POST /submit and GET /status, /rules, /explain, /report, /metrics, /ready.\n');
			}
		}
	}

	async #handleSubmit(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (Number(request.headers['content-length'] ?? maxSubmissionBytes + 1) > maxSubmissionBytes) {
			response.writeHead(statusPayloadTooLarge).end(`Send a submission of at most ${maxSubmissionBytes} bytes, with its length.\n`);
			return;
		}

		let submission: SubmitRequest;
		try {
			submission = await json(request) as SubmitRequest;
		} catch (error) {
			response.writeHead(statusBadRequest).end(`The submission is not JSON: ${describeError(error)}\n`);
			return;
		}

		const fault = validateSubmission(submission);
		if (fault !== undefined) {
			response.writeHead(statusBadRequest).end(`${fault}\n`);
			return;
		}

		response.writeHead(200, {'content-type': 'application/x-ndjson'});
		await this.#handlers.submit(submission, event => {
			response.write(`${JSON.stringify(event)}\n`);
		});
		response.end();
	}

	#handleExplain(url: URL, response: ServerResponse): void {
		const {searchParams: parameters} = url;
		const path = parameters.get('path') ?? '/';
		const headers = Object.fromEntries(parameters.getAll('header').map(pair => pair.split('=', 2) as [string, string]));
		sendJson(response, this.#handlers.explain({
			method: parameters.get('method') ?? 'GET', host: parameters.get('host') ?? '', path, headers,
		}));
	}
}

function sendJson(response: ServerResponse, value: unknown): void {
	response.writeHead(200, {'content-type': 'application/json'}).end(`${JSON.stringify(value)}\n`);
}

function validateSubmission(submission: Partial<SubmitRequest> | null): string | undefined {
	if (typeof submission !== 'object' || submission === null) {
		return 'The submission must be an object.';
	}

	const textKeys = ['submissionId', 'submitter', 'file', 'text'] as const;
	const missingKey = textKeys.find(key => typeof submission[key] !== 'string' || (submission[key] === '' && key !== 'text'));
	if (missingKey) {
		return `Key "${missingKey}" of the submission must be a text.`;
	}

	const {baseVersion} = submission;
	const isBaseVersionValid = baseVersion === undefined || (Number.isSafeInteger(baseVersion) && baseVersion >= 0);
	return isBaseVersionValid ? undefined : 'Key "baseVersion" must be a whole number from 0.';
}
