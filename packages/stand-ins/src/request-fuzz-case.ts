/** Fuzz case for calls: sends calls to upstreams that fail in random ways, and compares the responses with what the upstreams ran. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {text as readText} from 'node:stream/consumers';
import {chooseInteger} from '@ebonylead/base/base.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {meshHeaders} from '@ebonylead/upstreams/upstreams.js';
import {request} from 'undici';
import {MeshHarness} from './mesh-harness.js';

const vmCount = 3;
const roundCount = 5;
const concurrentCalls = 8;
const callDeadlineMs = 600;

/** Maximum time from a call's deadline to its end; long, as the machine may be busy. */
const maxOverrunMs = 10_000;
const maxResponseDelayMs = 200;

/** How an upstream may handle a request. One entry is chosen at random for each, so that repeated values are more likely. */
const behaviours = ['good', 'good', 'good', 'good', 'slow', 'die', 'half', 'half-chunked', 'hang', 'shed', 'limited'] as const;

/** Limits that an upstream may name, some of them unreadable. */
const limits = ['0', '3.5', '20', '1e3', '-1', 'NaN', '', 'many'] as const;

type CallRecord = {
	readonly id: string;
	readonly method: 'GET' | 'POST';
	readonly status: number;
	readonly outcome: string | undefined;

	/** Undefined when the connection closed early. */
	readonly body: string | undefined;
	readonly duration: number;
};

/** Sends calls to upstreams that choose one of `behaviours` at random for each request, and collects violations. */
class RequestFuzzRun {
	readonly #seed: number;
	readonly #random: SeededRandom;
	readonly #harness: MeshHarness;
	readonly #runs = new Map<string, number>();

	constructor(seed: number, isFirstVmLocal: boolean) {
		this.#seed = seed;
		this.#random = new SeededRandom(seed);
		this.#harness = new MeshHarness(seed, undefined, isFirstVmLocal);
	}

	async run(): Promise<string[]> {
		await this.#harness.start(this.#buildRules(0));
		for (let index = 0; index < vmCount; index++) {
			await this.#harness.addVm((incoming, response) => {
				void this.#handleRequest(incoming, response);
			}, {slots: 1 + chooseInteger(this.#random, 3)});
		}

		const records: CallRecord[] = [];
		for (let round = 1; round <= roundCount; round++) {
			this.#updateRulesAndAdmission(round);
			const calls = Array.from({length: concurrentCalls}, async (_, index) => this.#sendCall(`${this.#seed}-${round}-${index}`));
			records.push(...await Promise.all(calls));
		}

		await this.#harness.stop();
		return records.flatMap(record => this.#findViolations(record));
	}

	#buildRules(round: number): string[] {
		return [`GET a.example/** -> s deadline ${callDeadlineMs + round}ms # A`, `POST a.example/** -> s once deadline ${callDeadlineMs + round}ms # A`];
	}

	/** Applies new rules, and closes or opens the admission of each VM at random. */
	#updateRulesAndAdmission(round: number): void {
		this.#harness.setRules(this.#buildRules(round));
		for (const vm of this.#harness.vms) {
			if (chooseInteger(this.#random, 4) === 0) {
				vm.localUpstream.admission.close();
			} else {
				vm.localUpstream.admission.open();
			}
		}
	}

	async #handleRequest(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
		const id = String(incoming.headers['x-request-id']);
		this.#runs.set(id, (this.#runs.get(id) ?? 0) + 1);
		const behaviour = behaviours[chooseInteger(this.#random, behaviours.length)]!;
		const delay = this.#random.next() * maxResponseDelayMs;
		const body = await readText(incoming).catch(() => '');
		const responseBody = buildResponseBody(id, body);
		switch (behaviour) {
			case 'good': {
				response.end(responseBody);
				break;
			}

			case 'slow': {
				setTimeout(() => {
					response.end(responseBody);
				}, delay);
				break;
			}

			case 'limited': {
				response.setHeader(meshHeaders.rateLimit, limits[chooseInteger(this.#random, limits.length)]!);
				response.end(responseBody);
				break;
			}

			case 'die': {
				incoming.socket.destroy();
				break;
			}

			case 'half':
			case 'half-chunked': {
				response.writeHead(200, behaviour === 'half' ? {'content-length': responseBody.length} : {});
				response.write(responseBody.slice(0, responseBody.length / 2), () => {
					response.destroy();
				});
				break;
			}

			case 'shed': {
				response.writeHead(503).end('shed');
				break;
			}

			case 'hang':
				// Sends no response; the deadline ends the call.
		}
	}

	async #sendCall(id: string): Promise<CallRecord> {
		const method = chooseInteger(this.#random, 2) === 0 ? 'GET' : 'POST';
		const startedAt = performance.now();
		const buildRecord = (status: number, outcome: string | undefined, body: string | undefined): CallRecord => ({
			id, method, status, outcome, body, duration: performance.now() - startedAt,
		});
		try {
			const received = await request(`${this.#harness.url}/${id}`, {
				method, body: method === 'POST' ? id : undefined, headers: {host: 'a.example', 'x-request-id': id},
			});
			const body = await received.body.text();
			return buildRecord(received.statusCode, received.headers['x-ebonylead-outcome'] as string | undefined, body);
		} catch {
			return buildRecord(0, undefined, undefined);
		}
	}

	#findViolations(record: CallRecord): string[] {
		const runs = this.#runs.get(record.id) ?? 0;
		const violations: string[] = [];
		if (record.method === 'POST' && runs > 1) {
			violations.push(`${record.id} ran ${runs} times`);
		}

		if (record.outcome === 'not-run' && runs > 0) {
			violations.push(`${record.id} was refused as not-run, but ran`);
		}

		const expected = buildResponseBody(record.id, record.method === 'POST' ? record.id : '');
		if (record.status === 200 && record.body !== undefined && record.body !== expected) {
			violations.push(`${record.id} got a wrong or truncated response body: ${record.body.slice(0, 40)}`);
		}

		if (record.status === 200 && runs === 0) {
			violations.push(`${record.id} got status 200, but did not run`);
		}

		if (record.duration > callDeadlineMs + maxOverrunMs) {
			violations.push(`${record.id} ended after ${Math.round(record.duration)} ms`);
		}

		return violations;
	}
}

const bodyRepeats = 500;

function buildResponseBody(id: string, body: string): string {
	return `${id} ${body} `.repeat(bodyRepeats);
}

/**
 * Runs the case of one seed, and returns the violations that it found.
 *
 * @param isFirstVmLocal Whether calls to the first upstream make no second hop.
 */
export async function runRequestFuzzCase(seed: number, isFirstVmLocal = false): Promise<string[]> {
	return new RequestFuzzRun(seed, isFirstVmLocal).run();
}
