/**
 * Discrete-event emulator of a load, without a network: callers, VMs with slots, and
 * upstreams that call each other. Admission control and the choice of targets are the
 * code that nodes run.
 */
import {chooseInteger, type Random} from '@ebonylead/base/base.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {CapacityLearner} from '@ebonylead/capacity/capacity-learner.js';
import {loadBalancings} from '@ebonylead/capacity/capacity.js';
import {FinishRanking} from '@ebonylead/callers/finish-ranking.js';
import {type LocalTarget} from '@ebonylead/callers/local-preference.js';
import {RetryBudget} from '@ebonylead/callers/retry-budget.js';
import {TargetChooser} from '@ebonylead/callers/target-chooser.js';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {Membership} from '@ebonylead/peers/membership.js';
import {RouteTable, type Route} from '@ebonylead/rules/route-table.js';
import {parseRuleFile} from '@ebonylead/rules/rule-file.js';
import {AdmissionControl} from '@ebonylead/upstreams/admission.js';
import {type Admission} from '@ebonylead/upstreams/admission-request.js';
import {Cancellation} from '@ebonylead/upstreams/cancellation.js';
import {OrganisationShares} from '@ebonylead/upstreams/organisation-shares.js';
import {runOutcomes} from '@ebonylead/upstreams/run-observer.js';
import {type Refusal} from '@ebonylead/upstreams/upstreams.js';
import {
	type CallClass, type CallClassResult, type EmulatedLoad, type EmulatedService, type LimitUsage,
} from './emulated-load.js';
import {EmulatedOrganisations} from './emulated-organisations.js';
import {EmulatedVm, type EmulatedNode} from './emulated-vm.js';
import {EventClock} from './event-clock.js';

export {
	type CallClass, type CallClassResult, type EmulatedLoad, type EmulatedService, type LimitUsage,
} from './emulated-load.js';

type Outcome = {
	readonly kind: 'served' | 'failed' | 'refused';

	/** Milliseconds that the call waited without a slot. */
	readonly waited: number;

	/** Milliseconds after which a refused call may be sent again. */
	readonly retryAfter?: number;
};

/** The part of a node that calls of callers pass. */
type EntryNode = Pick<EmulatedNode, 'chooser' | 'retryBudget'>;

/** One-way latency between two nodes unless the load sets another one. */
const defaultHopLatencyMs = 1;

/** Maximum number of attempts of one sending of a call, each at another node. */
const maxAttempts = 3;

/** A caller waits as long as the refusal advises before it sends a call again, but at most this share of the time that is left for the call. */
const maxRetryAfterShare = 1 / 3;

/** Share of the latency objective from which a wait that ends with a refusal counts as late. */
const maxVainWaitShare = 0.25;

/** Half of the width of the distribution of a call's work, as a share of its mean. */
const workSpread = 0.5;

/** Time after the last start of a call, for the calls in flight to end. */
const drainTimeMs = 20_000;

/** Time in which an upstream refuses a request. */
const upstreamRefusalMs = 1;

/** Retry delay that the sidecar advises after that. */
const upstreamRefusalRetryAfterMs = 200;

/** Distance of the seeds of two services; more than a service has upstreams. */
const upstreamSeeds = 10_000;

/** Distance of the seeds of the load and of the retry budgets. */
const budgetSeeds = 2_000_000;

/** Emulates one load with one seed. */
export class LoadEmulator {
	readonly organisations: EmulatedOrganisations | undefined;
	readonly #load: EmulatedLoad;
	readonly #clock: EventClock;
	readonly #random: Random;
	readonly #budgetRandom: Random;
	readonly #membership = new Membership();
	readonly #vms: EmulatedVm[] = [];
	readonly #vmsById = new Map<string, EmulatedVm>();
	readonly #routes = new Map<string, Route>();
	readonly #results = new Map<string, CallClassResult>();
	#attempts = 0;
	#localAttempts = 0;

	/** Results by class and data centre of the entry node. */
	readonly #localResults = new Map<string, CallClassResult>();

	constructor(load: EmulatedLoad, seed: number) {
		this.#load = load;
		this.organisations = load.organisations && new EmulatedOrganisations(load.organisations);
		this.#clock = new EventClock();
		this.#random = new SeededRandom(seed);
		this.#budgetRandom = new SeededRandom(seed + budgetSeeds);
		const sharedEntry = load.isEntryAtEachVm ? undefined : this.#createEntry('a', 1);
		for (const [index, service] of load.services.entries()) {
			this.#addService(service, sharedEntry, seed + (index * upstreamSeeds));
		}

		const lines = load.classes.map(({name, service}) => `ANY a.example/${name}/** -> ${service} # A`);
		const {rules} = parseRuleFile('load', lines.join('\n')).unsafeCoerce();
		const objectives = new Map(load.classes.map(({name, objective}) => [`/${name}/**`, objective]));
		const table = new RouteTable({version: 1, rules: rules.map(rule => ({...rule, objective: objectives.get(rule.path)!}))});
		for (const {name} of load.classes) {
			this.#routes.set(name, table.findRoute({
				method: 'GET', host: 'a.example', path: `/${name}/x`, headers: {},
			})!);
			this.#results.set(name, createResult());
			for (const dataCentre of this.#dataCentres) {
				this.#localResults.set(`${name} ${dataCentre}`, createResult());
			}
		}
	}

	/** Emulates the load to its end, and returns the results by class. */
	async run(): Promise<ReadonlyMap<string, Readonly<CallClassResult>>> {
		for (const callClass of this.#load.classes) {
			if (callClass.rate > 0) {
				for (const dataCentre of this.#dataCentres) {
					void this.#startCalls(callClass, dataCentre);
				}
			}
		}

		await this.#clock.run(this.#load.duration + drainTimeMs);
		return this.#results;
	}

	/** Results by class and data centre of the entry node, such as `check a`. */
	get localResults(): ReadonlyMap<string, Readonly<CallClassResult>> {
		return this.#localResults;
	}

	/** Runs at each upstream, by its identifier, with the times at which they started. */
	get runTimes(): ReadonlyMap<string, readonly number[]> {
		return new Map([...this.#vmsById].map(([id, {arrivals}]) => [id, arrivals]));
	}

	/** Learnt limit of each upstream, by its identifier. */
	get learntLimits(): ReadonlyMap<string, number> {
		return new Map([...this.#vmsById].map(([id, {node}]) => [id, node.learner.limit]));
	}

	/** Share of the attempts at the upstream on the VM of their entry node. */
	get localShare(): number {
		return this.#localAttempts / Math.max(1, this.#attempts);
	}

	/** Counts the runs of each upstream. */
	countRuns(): ReadonlyMap<string, number> {
		return new Map([...this.#vmsById].map(([id, {arrivals}]) => [id, arrivals.length]));
	}

	/** Counts the requests that each upstream has refused. */
	countRefusals(): ReadonlyMap<string, number> {
		return new Map([...this.#vmsById].map(([id, {refusalCount}]) => [id, refusalCount]));
	}

	/** Lists what each upstream with a limit got. */
	listLimitUsages(): LimitUsage[] {
		return [...this.#vmsById].map(([id, vm]) => vm.computeLimitUsage(id)).filter(usage => usage !== undefined);
	}

	get #dataCentres(): ReadonlySet<string> {
		return new Set(this.#vms.map(vm => vm.node.dataCentre));
	}

	/** @param nodes Number of entry nodes, which share the slack of the retry budget. */
	#createEntry(dataCentre: string, nodes: number, local?: LocalTarget): EntryNode {
		const {loadBalancing, retryBudget} = this.#load;
		const isLearnt = loadBalancing === loadBalancings.learnt;
		return {
			chooser: new TargetChooser(this.#membership, dataCentre, this.#clock, this.#random, undefined, {
				local, createRanking: isLearnt ? dependencies => new FinishRanking(dependencies) : undefined,
			}),
			retryBudget: new RetryBudget(retryBudget?.ratio, retryBudget && (() => retryBudget.slack / nodes), this.#clock, this.#budgetRandom),
		};
	}

	#addService(service: EmulatedService, sharedEntry: EntryNode | undefined, seed: number): void {
		const {
			name, slots, speeds, dataCentres = [], readyFrom = [],
		} = service;
		const nodes = this.#load.services.reduce((sum, other) => sum + other.speeds.length, 0);
		for (const index of speeds.keys()) {
			const id = `${name}-${index}`;
			const dataCentre = dataCentres[index] ?? 'a';
			const admission = new AdmissionControl(this.#clock, slots);
			if (this.organisations && !this.#load.areSharesIgnored) {
				admission.setQueueShares(new OrganisationShares(name => this.organisations!.getWeight(name)));
			}

			const local = this.#load.isLocalPreferred ? {id, getLoad: () => admission.load} : undefined;
			const learner = new CapacityLearner({
				clock: this.#clock,
				getAnnounced: () => ({slots, incarnation: id}),
				onLimit: limit => {
					if (this.#load.isLimitLearnt) {
						admission.setSlots(limit);
					}
				},
			});
			const entry = sharedEntry ?? this.#createEntry(dataCentre, nodes, local);
			const vm = new EmulatedVm({
				...entry, admission, learner, dataCentre,
			}, service, index, seed + index);
			this.#vms.push(vm);
			this.#vmsById.set(id, vm);
			void this.#addMember(readyFrom[index] ?? 0, {
				id, incarnation: 1, dataCentre, region: 'r', host: id, peerPort: 1, meshPort: 1, state: MemberState.ALIVE, service: name, upstreamState: UpstreamState.READY, slots, instance: 1,
			});
		}
	}

	async #addMember(readyFrom: number, member: Member): Promise<void> {
		if (readyFrom > 0) {
			await this.#clock.sleep(readyFrom);
		}

		this.#membership.merge([member], this.#clock.now());
	}

	/** Starts the calls of a class at the entry nodes of a data centre. */
	async #startCalls(callClass: CallClass, dataCentre: string): Promise<void> {
		const vms = this.#vms.filter(vm => vm.node.dataCentre === dataCentre);
		const {amplitude, period} = this.#load.wave ?? {amplitude: 0, period: 1};
		const phase = [...this.#dataCentres].indexOf(dataCentre) / this.#dataCentres.size;
		const meanIntervalMs = 1000 / (callClass.rate * (1 + amplitude) * vms.length / this.#vms.length);
		while (this.#clock.now() < this.#load.duration) {
			await this.#clock.sleep(-Math.log(1 - this.#random.next()) * meanIntervalMs);
			const share = (1 + (amplitude * Math.sin(2 * Math.PI * ((this.#clock.now() / period) + phase)))) / (1 + amplitude);
			if (share === 1 || this.#random.next() < share) {
				void this.#runCallerCall(callClass, vms);
			}
		}
	}

	/** Runs one call of a caller, and sends it again after refusals. */
	async #runCallerCall(callClass: CallClass, vms: readonly EmulatedVm[]): Promise<void> {
		const results = [this.#results.get(callClass.name)!, this.#localResults.get(`${callClass.name} ${vms[0]!.node.dataCentre}`)!];
		const organisation = this.organisations?.choose(this.#random);
		const startedAt = this.#clock.now();
		const end = startedAt + (callClass.deadline * 2);
		let waited = 0;
		for (const result of results) {
			result.started++;
		}

		for (let attempt = 0; ; attempt++) {
			const vm = vms[chooseInteger(this.#random, this.#load.callerVms ?? vms.length)]!;
			const outcome = await this.#sendCall(vm, callClass, startedAt + callClass.objective, Math.min(end, this.#clock.now() + callClass.deadline), organisation);
			if (outcome.kind === 'served') {
				this.organisations?.recordServed(organisation!, this.#clock.now() <= startedAt + callClass.objective);
				for (const result of results) {
					result[this.#clock.now() <= startedAt + callClass.objective ? 'inTime' : 'late']++;
				}

				return;
			}

			waited += outcome.waited;
			if (outcome.kind === 'failed' || attempt === callClass.returns) {
				for (const result of results) {
					result[outcome.kind]++;
					result.refusedLate += outcome.kind === 'refused' && waited > callClass.objective * maxVainWaitShare ? 1 : 0;
					result.refusedAgain += outcome.kind === 'refused' && attempt > 0 ? 1 : 0;
				}

				return;
			}

			await this.#clock.sleep(Math.min(outcome.retryAfter ?? 0, (end - this.#clock.now()) * maxRetryAfterShare));
		}
	}

	/** Sends a call once, with attempts at one node after the other until one admits it. */
	async #sendCall({node: {chooser, retryBudget, dataCentre}}: EmulatedVm, callClass: CallClass, objective: number, deadline: number, organisation?: string): Promise<Outcome> {
		const route = this.#routes.get(callClass.name)!;
		const attemptedIds = new Set<string>();
		const startedAt = this.#clock.now();
		const age = startedAt + callClass.objective - objective;
		let retryAfter = 0;
		let hasReachedUpstream = false;
		let lastRefusal: Refusal | undefined;
		const isNested = callClass.rate === 0;
		const late = chooser.contention.findRefusal(route, age);
		if (late) {
			return {kind: 'refused', waited: 0, retryAfter: late.retryAfter};
		}

		retryBudget.recordCall(callClass.service, isNested);
		while (attemptedIds.size < maxAttempts && this.#clock.now() < deadline) {
			const member = chooser.choose(callClass.service, route, attemptedIds, this.#clock.now() + callClass.objective - objective, isNested);
			if (member === undefined) {
				retryAfter = chooser.findCapacityRefusal(callClass.service, route)?.retryAfter ?? retryAfter;
				break;
			}

			if (hasReachedUpstream && !retryBudget.admitRetry(callClass.service, isNested)) {
				break;
			}

			attemptedIds.add(member.id);
			this.#attempts++;
			const vm = this.#vmsById.get(member.id)!;
			this.#localAttempts += vm.node.chooser === chooser ? 1 : 0;
			chooser.recordStart(member);
			const {hopLatency = defaultHopLatencyMs, dataCentreLatency = hopLatency} = this.#load;
			const latency = dataCentre === member.dataCentre ? hopLatency : dataCentreLatency;
			await this.#clock.sleep(latency);
			const admission = await this.#admit(vm, callClass, objective, deadline, organisation);
			const outcome = admission.kind === 'admitted' ? await this.#runAdmitted(vm, callClass, deadline, admission) : undefined;
			const header = vm.node.learner.formatReport(route.key);
			await this.#clock.sleep(latency);
			chooser.recordEnd(member, false, vm.node.admission.load);
			chooser.recordAcceptance(member, vm.node.admission.acceptance);
			chooser.recordCapacity(member, route.key, header);
			if (outcome !== undefined) {
				return outcome;
			}

			if (admission.kind === 'refused') {
				retryAfter = admission.refusal.retryAfter ?? 0;
				lastRefusal = admission.refusal;
				if (admission.refusal.lacking !== undefined) {
					chooser.recordCapacityRefusal(member, route, admission.refusal);
				}
			} else {
				hasReachedUpstream = true;
				retryAfter = upstreamRefusalRetryAfterMs;
			}
		}

		if (lastRefusal) {
			chooser.contention.record(route, age, lastRefusal);
		}

		return {kind: 'refused', waited: this.#clock.now() - startedAt, retryAfter};
	}

	/** Sends an admitted call to the upstream; returns nothing if that refuses it. */
	async #runAdmitted(vm: EmulatedVm, callClass: CallClass, deadline: number, {release}: Extract<Admission, {kind: 'admitted'}>): Promise<Outcome | undefined> {
		if (vm.isRefusing(this.#clock.now())) {
			await this.#clock.sleep(upstreamRefusalMs);
			release(false);
			return undefined;
		}

		const outcome = await this.#runCall(vm, callClass, deadline);
		release();
		return outcome;
	}

	async #admit({node}: EmulatedVm, callClass: CallClass, objective: number, deadline: number, organisation: string | undefined): Promise<Admission> {
		return node.admission.admit({
			caller: 'c', organisation, deadline, objective, priority: callClass.rank, route: callClass.name, routeSlots: undefined, cancellation: new Cancellation(),
		});
	}

	/** Runs an admitted call: half of its work, its calls to other services, and the other half. */
	async #runCall(vm: EmulatedVm, callClass: CallClass, deadline: number): Promise<Outcome> {
		const result = this.#results.get(callClass.name)!;
		const work = callClass.work * (1 - workSpread + (this.#random.next() * 2 * workSpread));
		const startedAt = this.#clock.now();
		const concurrency = vm.node.admission.running;
		result.runs++;
		vm.arrivals.push(startedAt);
		await this.#clock.sleep(work / 2 / vm.speed.compute(startedAt, concurrency));
		for (const name of callClass.calls) {
			const nestedClass = this.#load.classes.find(found => found.name === name)!;
			const now = this.#clock.now();
			const outcome = await this.#sendCall(vm, nestedClass, now + nestedClass.objective, Math.min(deadline, now + nestedClass.deadline));
			if (outcome.kind !== 'served') {
				result.wastedRuns++;
				return {kind: 'failed', waited: 0};
			}
		}

		await this.#clock.sleep(work / 2 / vm.speed.compute(this.#clock.now(), vm.node.admission.running));
		vm.node.learner.recordRun({
			route: this.#routes.get(callClass.name)!.key, outcome: runOutcomes.success, duration: this.#clock.now() - startedAt, concurrency,
		});
		vm.nameLimit(this.#clock.now(), this.#load);
		return {kind: this.#clock.now() <= deadline ? 'served' : 'failed', waited: 0};
	}
}

function createResult(): CallClassResult {
	return {
		started: 0, inTime: 0, late: 0, refused: 0, refusedLate: 0, refusedAgain: 0, failed: 0, wastedRuns: 0, runs: 0,
	};
}
