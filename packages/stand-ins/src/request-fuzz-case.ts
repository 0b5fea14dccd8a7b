/** One random history of calls through misbehaving upstreams, checked against what ran. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {text as readText} from 'node:stream/consumers';
import {chooseInteger} from '@ebonylead/base/base.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {request} from 'undici';
import {MeshHarness} from './mesh-harness.js';

const placeCount = 3;
const rounds = 5;
const callsAtOnce = 8;
const callDeadline = 600;

/** Time after its deadline by which every call must have ended, in milliseconds; generous for busy machines. */
const maxOverrun = 10_000;
const slowest = 200;

/** How an upstream treats one request. */
const behaviours = ['good', 'good', 'good', 'good', 'slow', 'die', 'half', 'half-chunked', 'hang', 'shed'] as const;

type CallRecord = {
	readonly id: string;
	readonly method: 'GET' | 'POST';
	readonly status: number;
	readonly outcome: string | undefined;

	/** Undefined where the connection was cut. */
	readonly body: string | undefined;
	readonly duration: number;
};

/** Runs callers against upstreams that do anything. */
class RequestFuzzRun {
	readonly #seed: number;
	readonly #random: SeededRandom;
	readonly #harness: MeshHarness;
	readonly #runs = new Map<string, number>();

	constructor(seed: number) {
		this.#seed = seed;
		this.#random = new SeededRandom(seed);
		this.#harness = new MeshHarness(seed);
	}

	async run(): Promise<string[]> {
		await this.#harness.start(this.#buildRules(0));
		for (let index = 0; index < placeCount; index++) {
			await this.#harness.addPlace((incoming, response) => {
				void this.#behave(incoming, response);
			}, {slots: 1 + chooseInteger(this.#random, 3)});
		}

		const records: CallRecord[] = [];
		for (let round = 1; round <= rounds; round++) {
			this.#disturb(round);
			const calls = Array.from({length: callsAtOnce}, async (_, index) => this.#call(`${this.#seed}-${round}-${index}`));
			records.push(...await Promise.all(calls));
		}

		await this.#harness.stop();
		return records.flatMap(record => this.#check(record));
	}

	#buildRules(round: number): string[] {
		return [`GET a.example/** -> s deadline ${callDeadline + round}ms # A`, `POST a.example/** -> s once deadline ${callDeadline + round}ms # A`];
	}

	/** Changes rules, and lets upstreams leave and come back, between calls. */
	#disturb(round: number): void {
		this.#harness.setRules(this.#buildRules(round));
		for (const place of this.#harness.places) {
			if (chooseInteger(this.#random, 4) === 0) {
				place.link.admission.close();
			} else {
				place.link.admission.open();
			}
		}
	}

	async #behave(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
		const id = String(incoming.headers['x-request-id']);
		this.#runs.set(id, (this.#runs.get(id) ?? 0) + 1);
		const behaviour = behaviours[chooseInteger(this.#random, behaviours.length)]!;
		const pause = this.#random.next() * slowest;
		const body = await readText(incoming).catch(() => '');
		const answer = buildAnswer(id, body);
		switch (behaviour) {
			case 'good': {
				response.end(answer);
				break;
			}

			case 'slow': {
				setTimeout(() => {
					response.end(answer);
				}, pause);
				break;
			}

			case 'die': {
				incoming.socket.destroy();
				break;
			}

			case 'half':
			case 'half-chunked': {
				response.writeHead(200, behaviour === 'half' ? {'content-length': answer.length} : {});
				response.write(answer.slice(0, answer.length / 2), () => {
					response.destroy();
				});
				break;
			}

			case 'shed': {
				response.writeHead(503).end('shed');
				break;
			}

			case 'hang':
				// Says nothing; the deadline ends the call.
		}
	}

	async #call(id: string): Promise<CallRecord> {
		const method = chooseInteger(this.#random, 2) === 0 ? 'GET' : 'POST';
		const startedAt = performance.now();
		const finish = (status: number, outcome: string | undefined, body: string | undefined): CallRecord => ({
			id, method, status, outcome, body, duration: performance.now() - startedAt,
		});
		try {
			const answer = await request(`${this.#harness.url}/${id}`, {
				method, body: method === 'POST' ? id : undefined, headers: {host: 'a.example', 'x-request-id': id},
			});
			const body = await answer.body.text();
			return finish(answer.statusCode, answer.headers['x-ebonylead-outcome'] as string | undefined, body);
		} catch {
			return finish(0, undefined, undefined);
		}
	}

	#check(record: CallRecord): string[] {
		const runs = this.#runs.get(record.id) ?? 0;
		const faults: string[] = [];
		if (record.method === 'POST' && runs > 1) {
			faults.push(`${record.id} ran ${runs} times`);
		}

		if (record.outcome === 'not-run' && runs > 0) {
			faults.push(`${record.id} was refused as not run, and ran`);
		}

		const expected = buildAnswer(record.id, record.method === 'POST' ? record.id : '');
		if (record.status === 200 && record.body !== undefined && record.body !== expected) {
			faults.push(`${record.id} got an answer that is not its own, or short: ${record.body.slice(0, 40)}`);
		}

		if (record.status === 200 && runs === 0) {
			faults.push(`${record.id} was answered, and did not run`);
		}

		if (record.duration > callDeadline + maxOverrun) {
			faults.push(`${record.id} ended after ${Math.round(record.duration)} ms`);
		}

		return faults;
	}
}

const answerRepeats = 500;

function buildAnswer(id: string, body: string): string {
	return `${id} ${body} `.repeat(answerRepeats);
}

/** Runs the history of one seed, and returns the promises that it broke. */
export async function runRequestFuzzCase(seed: number): Promise<string[]> {
	return new RequestFuzzRun(seed).run();
}
