/** Callers that run all the while, and the checks of what they got. */
import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {computeDigest} from '@ebonylead/base/hash.js';
import {chooseInteger, type Random} from '@ebonylead/base/base.js';
import {type Run} from '@ebonylead/stand-ins/upstream-stand-in.js';
import {Agent, request, type Dispatcher} from 'undici';
import {delay} from './fleet.js';

/** A kind of call that callers make. */
export type CallShape = {
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
	readonly doubled: number;

	/** Calls that were refused as not run, and ran. */
	readonly falseRefusals: number;
};

/** What callers need. */
export type LoadOptions = {
	/** Addresses of the nodes that callers use; a caller moves on when its node refuses connections. */
	readonly entries: readonly string[];
	readonly shapes: readonly CallShape[];
	readonly callers: number;

	/** Time between two calls of one caller in milliseconds. */
	readonly thinkTime: number;

	/** One-way latency to the nodes in milliseconds. */
	readonly latency: number;
	readonly random: Random;
};

const callTimeout = 10_000;
const outcomeHeader = 'x-ebonylead-outcome';

/** Runs callers until it is told to stop. */
export class Load {
	readonly records: CallRecord[] = [];
	readonly #options: LoadOptions;
	readonly #agent = new Agent({connections: 64, connect: {timeout: 1000}});
	readonly #totalWeight: number;
	#isStopping = false;
	#tasks: Array<Promise<void>> = [];

	constructor(options: LoadOptions) {
		this.#options = options;
		this.#totalWeight = options.shapes.reduce((sum, shape) => sum + shape.weight, 0);
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
		const {entries, thinkTime, random, latency} = this.#options;
		let entry = index % entries.length;
		while (!this.#isStopping) {
			await delay(latency);
			const record = await this.#call(entries[entry]!, this.#pickShape());
			await delay(latency);
			this.records.push(record);
			if (record.outcome !== 'answered') {
				entry = (entry + 1) % entries.length;
			}

			await delay(thinkTime * (0.5 + random.next()));
		}
	}

	async #call(entry: string, shape: CallShape): Promise<CallRecord> {
		const requestId = randomUUID();
		const path = shape.path.replace('*', String(chooseInteger(this.#options.random, 1000)));
		const body = shape.method === 'GET' ? undefined : JSON.stringify({requestId, weight: chooseInteger(this.#options.random, 1000)});
		const startedAt = performance.now();
		const finish = (outcome: CallRecord['outcome'], detail = ''): CallRecord => ({
			requestId, method: shape.method, outcome, duration: performance.now() - startedAt, detail,
		});
		let hasBegun = false;
		try {
			const response = await request(entry + path, {
				method: shape.method, body, dispatcher: this.#agent, headers: {host: shape.host, 'x-request-id': requestId}, signal: AbortSignal.timeout(callTimeout),
			});
			hasBegun = true;
			const text = await response.body.text();
			const refused = response.headers[outcomeHeader];
			if (refused !== undefined) {
				return finish(refused === 'not-run' ? 'not-run' : 'unknown', text);
			}

			const fault = findAnswerFault(text, requestId, path, body);
			return fault === undefined ? finish('answered') : finish('wrong', fault);
		} catch (error) {
			return finish(hasBegun ? 'cut' : 'unknown', String(error));
		}
	}

	#pickShape(): CallShape {
		const {shapes, random} = this.#options;
		let point = random.next() * this.#totalWeight;
		for (const shape of shapes) {
			point -= shape.weight;
			if (point < 0) {
				return shape;
			}
		}

		return shapes[0]!;
	}
}

function findAnswerFault(text: string, requestId: string, path: string, body: string | undefined): string | undefined {
	try {
		const answer = JSON.parse(text) as {requestId: string; path: string; bodyDigest: string};
		const isOwn = answer.requestId === requestId && answer.path === path && answer.bodyDigest === computeDigest(new TextEncoder().encode(body ?? ''));
		return isOwn ? undefined : `not the answer to this call: ${text.slice(0, 200)}`;
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
		doubled: count((record, runCount) => record.method !== 'GET' && runCount > 1),
		falseRefusals: count((record, runCount) => record.outcome === 'not-run' && runCount > 0),
	};
}
