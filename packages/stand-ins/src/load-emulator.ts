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
export type PlayedService = {
	readonly name: string;
	readonly slots: number;

	/** Speed of each upstream; 1 does the work of a class in its stated time. */
	readonly speeds: readonly number[];
};

/** A kind of call. */
export type PlayedClass = {
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
export type PlayedLoad = {
	readonly services: readonly PlayedService[];
	readonly classes: readonly PlayedClass[];

	/** Milliseconds for which callers call. */
	readonly duration: number;
};

/** What became of the calls of a class. */
export type PlayedResult = {
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

type Place = {
	readonly admission: AdmissionControl;
	readonly speed: number;
};

/** Time of a hop in milliseconds, as on the users' sites between data centres. */
const hopTime = 1;

/** Most nodes that a call asks. */
const maxNodesAsked = 3;

/** Callers follow the advice to come again up to this part of the time that they have left. */
const maxReturnShare = 1 / 3;
const workSpread = 0.5;
const settleTime = 20_000;

/** Plays one load with one seed. */
export class LoadEmulator {
	readonly #load: PlayedLoad;
	readonly #clock: EventClock;
	readonly #random: Random;
	readonly #membership = new Membership();
	readonly #chooser: TargetChooser;
	readonly #places = new Map<string, Place>();
	readonly #routes = new Map<string, Route>();
	readonly #results = new Map<string, PlayedResult>();

	constructor(load: PlayedLoad, seed: number) {
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
	async run(): Promise<ReadonlyMap<string, Readonly<PlayedResult>>> {
		for (const played of this.#load.classes) {
			if (played.rate > 0) {
				void this.#startCalls(played);
			}
		}

		await this.#clock.run(this.#load.duration + settleTime);
		return this.#results;
	}

	#addService({name, slots, speeds}: PlayedService): void {
		const clock: Clock = this.#clock;
		for (const [index, speed] of speeds.entries()) {
			const id = `${name}-${index}`;
			this.#places.set(id, {admission: new AdmissionControl(clock, slots), speed});
			this.#membership.merge([{
				id, incarnation: 1, dataCentre: 'a', region: 'r', host: id, peerPort: 1, meshPort: 1, state: MemberState.ALIVE, service: name, upstreamState: UpstreamState.READY, slots, instance: 1,
			}], 0);
		}
	}

	async #startCalls(played: PlayedClass): Promise<void> {
		const pause = 1000 / played.rate;
		while (this.#clock.now() < this.#load.duration) {
			await this.#clock.sleep(-Math.log(1 - this.#random.next()) * pause);
			void this.#callAsCaller(played);
		}
	}

	/** One call of a caller, with its returns after refusals. */
	async #callAsCaller(played: PlayedClass): Promise<void> {
		const result = this.#results.get(played.name)!;
		const startedAt = this.#clock.now();
		const end = startedAt + (played.deadline * 2);
		result.asked++;
		for (let attempt = 0; ; attempt++) {
			const outcome = await this.#call(played, startedAt + played.objective, Math.min(end, this.#clock.now() + played.deadline));
			if (outcome.kind === 'served') {
				result[this.#clock.now() <= startedAt + played.objective ? 'inTime' : 'late']++;
				return;
			}

			if (outcome.kind === 'failed' || attempt === played.returns) {
				result[outcome.kind]++;
				return;
			}

			await this.#clock.sleep(Math.min(outcome.retryAfter ?? 0, (end - this.#clock.now()) * maxReturnShare));
		}
	}

	/** One attempt: asks nodes until one takes it. */
	async #call(played: PlayedClass, objective: number, deadline: number): Promise<Outcome> {
		const route = this.#routes.get(played.name)!;
		const tried = new Set<string>();
		let retryAfter = 0;
		while (tried.size < maxNodesAsked && this.#clock.now() < deadline) {
			const member = this.#chooser.choose(played.service, route, tried);
			if (member === undefined) {
				break;
			}

			tried.add(member.id);
			this.#chooser.recordStart(member);
			await this.#clock.sleep(hopTime);
			const place = this.#places.get(member.id)!;
			const admission = await this.#enter(place, played, objective, deadline);
			const outcome = admission.kind === 'admitted' ? await this.#runCall(place, played, deadline) : undefined;
			if (admission.kind === 'admitted') {
				admission.release();
			}

			await this.#clock.sleep(hopTime);
			this.#chooser.recordEnd(member, false, place.admission.load);
			if (outcome !== undefined) {
				return outcome;
			}

			if (admission.kind === 'refused') {
				retryAfter = admission.refusal.retryAfter ?? 0;
				if (admission.refusal.isUpstreamFull) {
					this.#chooser.recordCapacityRefusal(member, route, admission.refusal);
				}
			}
		}

		return {kind: 'refused', retryAfter};
	}

	async #enter(place: Place, played: PlayedClass, objective: number, deadline: number): Promise<Admission> {
		return place.admission.admit({
			caller: 'c', deadline, objective, priority: played.rank, route: played.name, routeSlots: undefined, cancellation: new Cancellation(),
		});
	}

	/** Half of the work, the calls to others, and the other half. */
	async #runCall(place: Place, played: PlayedClass, deadline: number): Promise<Outcome> {
		const result = this.#results.get(played.name)!;
		const work = played.work * (1 - workSpread + (this.#random.next() * 2 * workSpread)) / place.speed;
		result.runs++;
		await this.#clock.sleep(work / 2);
		for (const name of played.calls) {
			const inner = this.#load.classes.find(found => found.name === name)!;
			const now = this.#clock.now();
			const outcome = await this.#call(inner, now + inner.objective, Math.min(deadline, now + inner.deadline));
			if (outcome.kind !== 'served') {
				result.wastedRuns++;
				return {kind: 'failed'};
			}
		}

		await this.#clock.sleep(work / 2);
		return {kind: this.#clock.now() <= deadline ? 'served' : 'failed'};
	}
}
