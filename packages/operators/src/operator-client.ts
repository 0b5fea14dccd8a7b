/** HTTP client for the operator listener of a node. */
import {StepError, describeError} from '@ebonylead/base/errors.js';
import {request} from 'undici';
import {type BurnReport} from './burn-report.js';
import {
	type ExplainReport, type StatusReport, type SubmitEvent, type SubmitRequest,
} from './operators.js';

const statusOk = 200;

/** Sends an operator's requests to one node. */
export class OperatorClient {
	readonly #url: string;

	/**
	 * @param url Address of the node's operator listener, such as `http://10.0.0.1:8083`.
	 */
	constructor(url: string) {
		this.#url = url.replace(/\/$/v, '');
	}

	/**
	 * Submits a rule file, and yields the events as they arrive.
	 *
	 * @throws StepError when the node can't be reached or refuses the request.
	 */
	async * submit(submission: SubmitRequest): AsyncGenerator<SubmitEvent> {
		const body = await this.#sendRequest('submit', 'POST', '/submit', JSON.stringify(submission));
		let incompleteLine = '';
		for await (const chunk of body) {
			const lines = (incompleteLine + String(chunk)).split('\n');
			incompleteLine = lines.pop() ?? '';
			for (const line of lines) {
				yield JSON.parse(line) as SubmitEvent;
			}
		}
	}

	/** Fetches the status of the node, and of the other nodes as it sees them. */
	async fetchStatus(): Promise<StatusReport> {
		const body = await this.#sendRequest('read status', 'GET', '/status');
		return await body.json() as StatusReport;
	}

	/** Fetches the active rules as a rule file. */
	async fetchRules(): Promise<string> {
		const body = await this.#sendRequest('read rules', 'GET', '/rules');
		return body.text();
	}

	/** Fetches the burn rates of all routes. */
	async fetchReport(): Promise<BurnReport> {
		const body = await this.#sendRequest('read report', 'GET', '/report');
		return await body.json() as BurnReport;
	}

	/**
	 * Fetches which rule a request matches, and which upstreams it may be sent to.
	 *
	 * @param headers Headers of the request, each as `NAME=VALUE`.
	 */
	async explain(method: string, host: string, path: string, headers: readonly string[]): Promise<ExplainReport> {
		const parameters = new URLSearchParams({method, host, path});
		for (const header of headers) {
			parameters.append('header', header);
		}

		const body = await this.#sendRequest('explain', 'GET', `/explain?${parameters.toString()}`);
		return await body.json() as ExplainReport;
	}

	async #sendRequest(step: string, method: 'GET' | 'POST', path: string, body?: string) {
		try {
			const response = await request(this.#url + path, {method, body, headers: {'content-type': 'application/json'}});
			if (response.statusCode !== statusOk) {
				const reason = await response.body.text();
				throw new Error(`status ${response.statusCode}: ${reason.trim()}`);
			}

			return response.body;
		} catch (error) {
			throw new StepError(step, `node ${this.#url}`, describeError(error), {cause: error});
		}
	}
}
