/** Plays a load against the decisions of nodes, without a network: callers, nodes with slots, and upstreams that call each other. */
import {type Clock, type Random} from '@ebonylead/base/base.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {TargetChooser} from '@ebonylead/callers/target-chooser.js';
import {MemberState, UpstreamState} from '@ebonylead/peers/generated/peers.js';
import {Membership} from '@ebonylead/peers/membership.js';
import {RouteTable, type Route} from '@ebonylead/rules/route-table.js';
import {parseRuleFile} from '@ebonylead/rules/rule-file.js';
import {AdmissionControl, type Admission} from '@ebonylead/upstreams/admission.js';
import {Cancellation} from '@ebonylead/upstreams/cancellation.js';
import {EventClock} from './event-clock.js';

/** A service and its upstreams. */
export type EmulatedService = {
	readonly name: string;
	readonly slots: number;

	/** Speed of each upstream; 1 does the work of a class in its stated time. */
	readonly speeds: readonly number[];
};

/** A kind of call. */
export type CallClass = {
	readonly name: string;
	readonly service: string;
	readonly rank: number;

	/** Calls of callers in a second; 0 for calls that only upstreams make. */
	readonly rate: number;

	/** Mean work in milliseconds; the work of a call is spread evenly up to half of it around. */
	readonly work: number;

	/** Milliseconds from the first attempt in which an answer is worth most. */
	readonly objective: number;

	/** Milliseconds that one attempt may take. */
	readonly deadline: number;

	/** How often a refused caller comes back. */
	readonly returns: number;

	/** Calls that a run makes one after the other, by the name of their class. */
	readonly calls: readonly string[];
};

/** A load. */
export type EmulatedLoad = {
	readonly services: readonly EmulatedService[];
	readonly classes: readonly CallClass[];

	/** Milliseconds for which callers call. */
	readonly duration: number;
};

/** What became of the calls of a class. */
export type CallClassResult = {
	asked: number;
	inTime: number;
	late: number;
	refused: number;
	failed: number;

	/** Runs that ended badly, as a call that they made was refused or failed. */
	wastedRuns: number;
	runs: number;
};

type Outcome = {
	readonly kind: 'served' | 'failed' | 'refused';

	/** Milliseconds after which a refused caller may come again. */
	readonly retryAfter?: number;
};

type Vm = {
	readonly admission: AdmissionControl;
	readonly speed: number;
};

/** Time of a hop in milliseconds, as on the users' sites between data centres. */
const hopLatencyMs = 1;

/** Most nodes that a call asks. */
const maxAttempts = 3;

/** Callers follow the advice to come again up to this part of the time that they have left. */
const maxRetryAfterShare = 1 / 3;
const workSpread = 0.5;
const drainTimeMs = 20_000;

/** Plays one load with one seed. */
export class LoadEmulator {
	readonly #load: EmulatedLoad;
	readonly #clock: EventClock;
	readonly #random: Random;
	readonly #membership = new Membership();
	readonly #chooser: TargetChooser;
	readonly #vms = new Map<string, Vm>();
	readonly #routes = new Map<string, Route>();
	readonly #results = new Map<string, CallClassResult>();

	constructor(load: EmulatedLoad, seed: number) {
		this.#load = load;
		this.#clock = new EventClock();
		this.#random = new SeededRandom(seed);
		this.#chooser = new TargetChooser(this.#membership, 'a', this.#clock, this.#random);
		for (const service of load.services) {
			this.#addService(service);
		}

		const lines = load.classes.map(({name, service}) => `ANY a.example/${name}/** -> ${service} # A`);
		const {rules} = parseRuleFile('load', lines.join('\n')).unsafeCoerce();
		const table = new RouteTable({version: 1, rules});
		for (const {name} of load.classes) {
			this.#routes.set(name, table.findRoute({
				method: 'GET', host: 'a.example', path: `/${name}/x`, headers: {},
			})!);
			this.#results.set(name, {
				asked: 0, inTime: 0, late: 0, refused: 0, failed: 0, wastedRuns: 0, runs: 0,
			});
		}
	}

	/** Plays the load to its end. */
	async run(): Promise<ReadonlyMap<string, Readonly<CallClassResult>>> {
		for (const callClass of this.#load.classes) {
			if (callClass.rate > 0) {
				void this.#startCalls(callClass);
			}
		}

		await this.#clock.run(this.#load.duration + drainTimeMs);
		return this.#results;
	}

	#addService({name, slots, speeds}: EmulatedService): void {
		const clock: Clock = this.#clock;
		for (const [index, speed] of speeds.entries()) {
			const id = `${name}-${index}`;
			this.#vms.set(id, {admission: new AdmissionControl(clock, slots), speed});
			this.#membership.merge([{
				id, incarnation: 1, dataCentre: 'a', region: 'r', host: id, peerPort: 1, meshPort: 1, state: MemberState.ALIVE, service: name, upstreamState: UpstreamState.READY, slots, instance: 1,
			}], 0);
		}
	}

	async #startCalls(callClass: CallClass): Promise<void> {
		const meanIntervalMs = 1000 / callClass.rate;
		while (this.#clock.now() < this.#load.duration) {
			await this.#clock.sleep(-Math.log(1 - this.#random.next()) * meanIntervalMs);
			void this.#runCallerCall(callClass);
		}
	}

	/** One call of a caller, with its returns after refusals. */
	async #runCallerCall(callClass: CallClass): Promise<void> {
		const result = this.#results.get(callClass.name)!;
		const startedAt = this.#clock.now();
		const end = startedAt + (callClass.deadline * 2);
		result.asked++;
		for (let attempt = 0; ; attempt++) {
			const outcome = await this.#sendCall(callClass, startedAt + callClass.objective, Math.min(end, this.#clock.now() + callClass.deadline));
			if (outcome.kind === 'served') {
				result[this.#clock.now() <= startedAt + callClass.objective ? 'inTime' : 'late']++;
				return;
			}

			if (outcome.kind === 'failed' || attempt === callClass.returns) {
				result[outcome.kind]++;
				return;
			}

			await this.#clock.sleep(Math.min(outcome.retryAfter ?? 0, (end - this.#clock.now()) * maxRetryAfterShare));
		}
	}

	/** One attempt: asks nodes until one takes it. */
	async #sendCall(callClass: CallClass, objective: number, deadline: number): Promise<Outcome> {
		const route = this.#routes.get(callClass.name)!;
		const attemptedIds = new Set<string>();
		let retryAfter = 0;
		while (attemptedIds.size < maxAttempts && this.#clock.now() < deadline) {
			const member = this.#chooser.choose(callClass.service, route, attemptedIds);
			if (member === undefined) {
				break;
			}

			attemptedIds.add(member.id);
			this.#chooser.recordStart(member);
			await this.#clock.sleep(hopLatencyMs);
			const vm = this.#vms.get(member.id)!;
			const admission = await this.#admit(vm, callClass, objective, deadline);
			const outcome = admission.kind === 'admitted' ? await this.#runCall(vm, callClass, deadline) : undefined;
			if (admission.kind === 'admitted') {
				admission.release();
			}

			await this.#clock.sleep(hopLatencyMs);
			this.#chooser.recordEnd(member, false, vm.admission.load);
			if (outcome !== undefined) {
				return outcome;
			}

			if (admission.kind === 'refused') {
				retryAfter = admission.refusal.retryAfter ?? 0;
				if (admission.refusal.isFull) {
					this.#chooser.recordFull(member, route, admission.refusal);
				}
			}
		}

		return {kind: 'refused', retryAfter};
	}

	async #admit(vm: Vm, callClass: CallClass, objective: number, deadline: number): Promise<Admission> {
		return vm.admission.admit({
			caller: 'c', deadline, objective, priority: callClass.rank, route: callClass.name, routeSlots: undefined, cancellation: new Cancellation(),
		});
	}

	/** Half of the work, the calls to others, and the other half. */
	async #runCall(vm: Vm, callClass: CallClass, deadline: number): Promise<Outcome> {
		const result = this.#results.get(callClass.name)!;
		const work = callClass.work * (1 - workSpread + (this.#random.next() * 2 * workSpread)) / vm.speed;
		result.runs++;
		await this.#clock.sleep(work / 2);
		for (const name of callClass.calls) {
			const nestedClass = this.#load.classes.find(found => found.name === name)!;
			const now = this.#clock.now();
			const outcome = await this.#sendCall(nestedClass, now + nestedClass.objective, Math.min(deadline, now + nestedClass.deadline));
			if (outcome.kind !== 'served') {
				result.wastedRuns++;
				return {kind: 'failed'};
			}
		}

		await this.#clock.sleep(work / 2);
		return {kind: this.#clock.now() <= deadline ? 'served' : 'failed'};
	}
}
