/** Callers that run all the while, and the checks of what they got. */
import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {computeDigest} from '@ebonylead/base/hash.js';
import {pickInteger, type Random} from '@ebonylead/base/base.js';
import {type Run} from '@ebonylead/stand-ins/upstream-stand-in.js';
import {Agent, request, type Dispatcher} from 'undici';
import {delay} from './fleet.js';

/** A kind of call that callers make. */
export type CallTemplate = {
	readonly method: Dispatcher.HttpMethod;
	readonly host: string;
	readonly path: string;

	/** Share of the calls; the shares need not add up to anything. */
	readonly weight: number;
};

/** What a caller learned of one call. */
export type CallRecord = {
	readonly requestId: string;
	readonly method: string;
	readonly outcome: 'answered' | 'not-run' | 'unknown' | 'wrong' | 'cut';

	/** Time of the call in milliseconds. */
	readonly duration: number;

	/** What went wrong; empty for a whole answer. */
	readonly detail: string;
};

/** Sums over all calls. */
export type LoadSummary = {
	readonly calls: number;
	readonly answered: number;
	readonly notRun: number;
	readonly unknown: number;
	readonly wrong: number;
	readonly cut: number;

	/** Answered calls without a run. */
	readonly lost: number;

	/** Calls other than GET and HEAD that ran more than once. */
	readonly duplicated: number;

	/** Calls that were refused as not run, and ran. */
	readonly falseRefusals: number;
};

/** What callers need. */
export type LoadOptions = {
	/** Addresses of the nodes that callers use; a caller moves on when its node refuses connections. */
	readonly entryUrls: readonly string[];
	readonly templates: readonly CallTemplate[];
	readonly callers: number;

	/** Time between two calls of one caller in milliseconds. */
	readonly thinkTimeMs: number;

	/** One-way latency to the nodes in milliseconds. */
	readonly latency: number;
	readonly random: Random;
};

const callTimeoutMs = 10_000;
const outcomeHeader = 'x-ebonylead-outcome';

/** Runs callers until it is told to stop. */
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

	/** Stops the callers after the call that each of them makes. */
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
		const path = template.path.replace('*', String(pickInteger(this.#options.random, 1000)));
		const body = template.method === 'GET' ? undefined : JSON.stringify({requestId, weight: pickInteger(this.#options.random, 1000)});
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
		return isMatch ? undefined : `not the answer to this call: ${text.slice(0, 200)}`;
	} catch {
		return `no whole answer: ${text.slice(0, 200)}`;
	}
}

/** Reads the log of the runs of a fleet. */
export function readRuns(file: string): Run[] {
	return readFileSync(file, 'utf8').split('\n').filter(line => line !== '').map(line => JSON.parse(line) as Run);
}

/** Compares what callers got with what ran. */
export function summarizeLoad(records: readonly CallRecord[], runs: readonly Run[]): LoadSummary {
	const runCounts = new Map<string, number>();
	for (const run of runs) {
		runCounts.set(run.requestId, (runCounts.get(run.requestId) ?? 0) + 1);
	}

	const count = (check: (record: CallRecord, runCount: number) => boolean) =>
		records.filter(record => check(record, runCounts.get(record.requestId) ?? 0)).length;
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
