/** Generates a continuous load of calls, and compares the outcomes that callers saw with the runs that upstreams logged. */
import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {computeDigest} from '@ebonylead/base/hash.js';
import {chooseInteger, type Random} from '@ebonylead/base/base.js';
import {type Run} from '@ebonylead/stand-ins/upstream-stand-in.js';
import {Agent, request, type Dispatcher} from 'undici';
import {delay} from './fleet.js';

/** A template for calls. */
export type CallTemplate = {
	readonly method: Dispatcher.HttpMethod;
	readonly host: string;

	/** Path, in which `*` is replaced by a random number. */
	readonly path: string;

	/** Relative frequency among all templates. */
	readonly weight: number;
};

/** Outcome of one call as its caller saw it. */
export type CallRecord = {
	readonly requestId: string;
	readonly method: string;

	/** `not-run`: refused as not run; `unknown`: refused although it may have run, or no response; `wrong`: the response does not match the call; `cut`: the response broke off. */
	readonly outcome: 'answered' | 'not-run' | 'unknown' | 'wrong' | 'cut';

	/** Duration of the call in milliseconds. */
	readonly duration: number;

	/** Description of the failure; empty for a correct response. */
	readonly detail: string;
};

/** Counts of calls by outcome, and of violated guarantees. */
export type LoadSummary = {
	readonly calls: number;
	readonly answered: number;
	readonly notRun: number;
	readonly unknown: number;
	readonly wrong: number;
	readonly cut: number;

	/** Answered calls that no upstream ran. */
	readonly lost: number;

	/** Calls other than GET that ran more than once. */
	readonly duplicated: number;

	/** Calls that were refused as not run although an upstream ran them. */
	readonly falseRefusals: number;
};

/** Settings of the load. */
export type LoadOptions = {
	/** URLs of the entry nodes; a caller moves to the next one after each call without a correct response. */
	readonly entryUrls: readonly string[];
	readonly templates: readonly CallTemplate[];
	readonly callers: number;

	/** Mean time between two calls of one caller in milliseconds. */
	readonly thinkTimeMs: number;

	/** One-way latency between callers and nodes in milliseconds. */
	readonly latency: number;
	readonly random: Random;
};

const callTimeoutMs = 10_000;
const outcomeHeader = 'x-ebonylead-outcome';

/** Runs a fixed number of callers, each with one call at a time (closed loop), until it is stopped. */
export class LoadGenerator {
	readonly records: CallRecord[] = [];
	readonly #options: LoadOptions;
	readonly #agent = new Agent({connections: 64, connect: {timeout: 1000}});
	readonly #totalWeight: number;
	#isStopping = false;
	#tasks: Array<Promise<void>> = [];

	constructor(options: LoadOptions) {
		this.#options = options;
		this.#totalWeight = options.templates.reduce((sum, template) => sum + template.weight, 0);
	}

	/** Starts the callers. */
	start(): void {
		this.#tasks = Array.from({length: this.#options.callers}, async (_, index) => this.#runCaller(index));
	}

	/** Stops the callers; calls in flight are completed first. */
	async stop(): Promise<void> {
		this.#isStopping = true;
		await Promise.all(this.#tasks);
		await this.#agent.destroy();
	}

	async #runCaller(index: number): Promise<void> {
		const {entryUrls, thinkTimeMs, random, latency} = this.#options;
		let entry = index % entryUrls.length;
		while (!this.#isStopping) {
			await delay(latency);
			const record = await this.#sendCall(entryUrls[entry]!, this.#chooseTemplate());
			await delay(latency);
			this.records.push(record);
			if (record.outcome !== 'answered') {
				entry = (entry + 1) % entryUrls.length;
			}

			await delay(thinkTimeMs * (0.5 + random.next()));
		}
	}

	async #sendCall(entry: string, template: CallTemplate): Promise<CallRecord> {
		const requestId = randomUUID();
		const path = template.path.replace('*', String(chooseInteger(this.#options.random, 1000)));
		const body = template.method === 'GET' ? undefined : JSON.stringify({requestId, weight: chooseInteger(this.#options.random, 1000)});
		const startedAt = performance.now();
		const finish = (outcome: CallRecord['outcome'], detail = ''): CallRecord => ({
			requestId, method: template.method, outcome, duration: performance.now() - startedAt, detail,
		});
		let hasResponse = false;
		try {
			const response = await request(entry + path, {
				method: template.method, body, dispatcher: this.#agent, headers: {host: template.host, 'x-request-id': requestId}, signal: AbortSignal.timeout(callTimeoutMs),
			});
			hasResponse = true;
			const text = await response.body.text();
			const refusalOutcome = response.headers[outcomeHeader];
			if (refusalOutcome !== undefined) {
				return finish(refusalOutcome === 'not-run' ? 'not-run' : 'unknown', text);
			}

			const fault = findResponseFault(text, requestId, path, body);
			return fault === undefined ? finish('answered') : finish('wrong', fault);
		} catch (error) {
			return finish(hasResponse ? 'cut' : 'unknown', String(error));
		}
	}

	#chooseTemplate(): CallTemplate {
		const {templates, random} = this.#options;
		let point = random.next() * this.#totalWeight;
		for (const template of templates) {
			point -= template.weight;
			if (point < 0) {
				return template;
			}
		}

		return templates[0]!;
	}
}

function findResponseFault(text: string, requestId: string, path: string, body: string | undefined): string | undefined {
	try {
		const content = JSON.parse(text) as {requestId: string; path: string; bodyDigest: string};
		const isMatch = content.requestId === requestId && content.path === path && content.bodyDigest === computeDigest(new TextEncoder().encode(body ?? ''));
		return isMatch ? undefined : `response does not match the call: ${text.slice(0, 200)}`;
	} catch {
		return `incomplete response: ${text.slice(0, 200)}`;
	}
}

/** Reads the run log of a fleet. */
export function readRuns(file: string): Run[] {
	return readFileSync(file, 'utf8').split('\n').filter(line => line !== '').map(line => JSON.parse(line) as Run);
}

/** Counts outcomes and violated guarantees by comparing the records of callers with the runs on upstreams. */
export function summarizeLoad(records: readonly CallRecord[], runs: readonly Run[]): LoadSummary {
	const runCounts = new Map<string, number>();
	for (const run of runs) {
		runCounts.set(run.requestId, (runCounts.get(run.requestId) ?? 0) + 1);
	}

	const count = (predicate: (record: CallRecord, runCount: number) => boolean) =>
		records.filter(record => predicate(record, runCounts.get(record.requestId) ?? 0)).length;
	return {
		calls: records.length,
		answered: count(record => record.outcome === 'answered'),
		notRun: count(record => record.outcome === 'not-run'),
		unknown: count(record => record.outcome === 'unknown'),
		wrong: count(record => record.outcome === 'wrong'),
		cut: count(record => record.outcome === 'cut'),
		lost: count((record, runCount) => record.outcome === 'answered' && runCount === 0),
		duplicated: count((record, runCount) => record.method !== 'GET' && runCount > 1),
		falseRefusals: count((record, runCount) => record.outcome === 'not-run' && runCount > 0),
	};
}
