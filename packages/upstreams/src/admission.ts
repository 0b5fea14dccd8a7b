/** Decides which calls run now, which wait, and which are refused, at the node beside an upstream. */
import {type Clock} from '@ebonylead/base/base.js';
import {buildAdmissionRefusal, type AdmissionCause} from './admission-refusals.js';
import {type Cancellation} from './cancellation.js';
import {RankUse, ServiceTimes} from './service-times.js';
import {refusalCauses, type NodeRefusal} from './upstreams.js';

/** A call that asks for a slot. */
export type AdmissionRequest = {
	/** Who calls; callers take turns in the queue. */
	readonly caller: string;

	/** Monotonic time in milliseconds at which the call must be over. */
	readonly deadline: number;

	/** Monotonic time in milliseconds up to which an answer is worth most. */
	readonly objective: number;

	/** Rank of the call; 0 goes first. */
	readonly rank: number;

	/** Key of the rule that matched. */
	readonly route: string;

	/** Most calls of the route at once, or undefined. */
	readonly routeSlots: number | undefined;

	/** Whether no other call may run beside it: it may have killed an upstream. */
	readonly isAlone?: boolean;

	/** Ends the wait when the caller leaves. */
	readonly cancellation: Cancellation;
};

/** A slot, or why there is none. */
export type Admission
	= | {readonly kind: 'admitted'; readonly release: () => void}
		| {readonly kind: 'refused'; readonly refusal: NodeRefusal};

type Waiting = {
	readonly request: AdmissionRequest;

	/** Rank in the queue: that of the request, or that of short calls. */
	readonly rank: number;

	/** Whether the call was expected to miss its objective when it came; it gets only slots that nobody else can use. */
	readonly isSpare: boolean;
	readonly resolve: (admission: Admission) => void;
};

/** Load that an upstream reports while it is leaving. */
const closedLoad = 1000;

/** Calls that may wait for each slot. */
const queuePerSlot = 4;

/** Calls that may wait for each slot although an answer would come after its objective: they fill slots that would be idle. */
const lateQueuePerSlot = 0.25;

/** Longest time in milliseconds that a call may have left to count as short: calls between services have 400 to 650, callers 800 and more. */
const shortCallTime = 700;

/** Rank of short calls: before all others, as they hold a slot briefly and a whole call of a caller waits for each. */
const shortCallRank = -1;

/** A call that waits is refused this long before its deadline, in milliseconds, so that the refusal arrives in time. */
const minRefusalMargin = 20;

/** Time between two looks at the deadlines of the calls that wait, in milliseconds. */
const sweepPeriod = 10;

/** Mean time of a call in milliseconds before the first one ended. */
const firstMean = 5;

/** Shortest advice to come again, in milliseconds. */
const minRetryAfter = 50;

/** Least share of the slots that counts as left for a rank, so that an estimate stays finite. */
const minFreeShare = 0.1;

/**
 * Holds the slots of one upstream.
 *
 * Calls that find no slot wait in a short queue. Slots go to the lowest rank
 * first, then to calls that can still meet their objective, then to the callers
 * in turn, then to the earliest objective. This answers loads beyond the
 * capacity: a call that would miss its objective is refused at once while
 * others can meet theirs, so that what is served is served in time. When the
 * queue is full, the worst rank's longest line gives up its oldest call.
 */
export class AdmissionControl {
	readonly #clock: Clock;
	readonly #times = new ServiceTimes(firstMean);
	readonly #use = new RankUse();
	readonly #routeCounts = new Map<string, number>();

	/** When each caller last got a slot after waiting, as a count of turns. */
	readonly #turns = new Map<string, number>();
	#turn = 0;
	readonly #queue: Waiting[] = [];
	#slots: number;
	#running = 0;
	#isClosed = false;
	#isAloneRunning = false;
	#isSweeping = false;

	constructor(clock: Clock, slots: number) {
		this.#clock = clock;
		this.#slots = slots;
	}

	/** Calls that run or wait, for each slot; very high where no call is taken, so that entries choose others at once. */
	get load(): number {
		if (this.#isClosed) {
			return closedLoad;
		}

		return this.#slots === 0 ? 1 : (this.#running + this.#queue.length) / this.#slots;
	}

	/** Count of calls that run. */
	get running(): number {
		return this.#running;
	}

	/** Count of calls that wait. */
	get waiting(): number {
		return this.#queue.length;
	}

	/** What estimates rest on, for the log: the mean time of a call in milliseconds, and the slots. */
	get estimates(): {readonly mean: number; readonly slots: number} {
		return {mean: Math.round(this.#times.mean), slots: this.#slots};
	}

	/** Changes the count of slots; calls that run are left alone. */
	setSlots(slots: number): void {
		this.#slots = slots;
		this.#startWaiting();
	}

	/** Refuses all new calls and those that wait; calls that run are left alone. */
	close(): void {
		this.#isClosed = true;
		for (const waiting of this.#queue) {
			this.#refuse(waiting, refusalCauses.leaving);
		}
	}

	/** Takes calls again after `close`. */
	open(): void {
		this.#isClosed = false;
	}

	/** Asks for a slot. Resolves when the call may run, or at once where it is refused. */
	async enter(request: AdmissionRequest): Promise<Admission> {
		if (this.#isClosed) {
			return this.#buildRefusal(request, refusalCauses.leaving);
		}

		const isShort = this.#isShort(request);
		const rank = isShort ? shortCallRank : request.rank;
		const isAtOnce = this.#queue.length === 0 && this.#hasSlot(request);
		const end = this.#clock.now() + (isAtOnce ? 0 : this.#estimateWait(request, rank)) + this.#times.estimate(request.route);
		if (end > request.deadline) {
			return this.#buildRefusal(request, refusalCauses.deadline);
		}

		if (isAtOnce) {
			return this.#admit(request, rank);
		}

		const isSpare = end > request.objective && !isShort;
		if (isSpare && this.#countSpare() >= this.#slots * lateQueuePerSlot) {
			return this.#buildRefusal(request, refusalCauses.objective);
		}

		return this.#wait(request, rank, isSpare);
	}

	#hasSlot(request: AdmissionRequest): boolean {
		if (this.#isAloneRunning || (request.isAlone && this.#running > 0)) {
			return false;
		}

		if (!request.isAlone && this.#queue.some(waiting => waiting.request.isAlone)) {
			return false;
		}

		const routeCount = this.#routeCounts.get(request.route) ?? 0;
		return this.#running < this.#slots && routeCount < (request.routeSlots ?? this.#slots);
	}

	#admit(request: AdmissionRequest, rank: number): Admission {
		const startedAt = this.#clock.now();
		let isReleased = false;
		this.#running++;
		this.#isAloneRunning = request.isAlone ?? false;
		this.#routeCounts.set(request.route, (this.#routeCounts.get(request.route) ?? 0) + 1);
		const release = () => {
			if (isReleased) {
				return;
			}

			isReleased = true;
			this.#release(request, rank, this.#clock.now() - startedAt);
		};

		return {kind: 'admitted', release};
	}

	#release(request: AdmissionRequest, rank: number, duration: number): void {
		this.#running--;
		this.#isAloneRunning = false;
		this.#times.record(request.route, duration);
		this.#use.record(rank, duration, this.#clock.now());
		const left = (this.#routeCounts.get(request.route) ?? 1) - 1;
		if (left === 0) {
			this.#routeCounts.delete(request.route);
		} else {
			this.#routeCounts.set(request.route, left);
		}

		this.#startWaiting();
	}

	async #wait(request: AdmissionRequest, rank: number, isSpare: boolean): Promise<Admission> {
		return new Promise(resolve => {
			const waiting: Waiting = {
				request, rank, isSpare, resolve,
			};
			this.#queue.push(waiting);
			if (this.#queue.length > this.#slots * queuePerSlot) {
				this.#dropWorst();
			}

			void this.#sweepWhileWaiting();
			request.cancellation.addListener(() => {
				this.#refuse(waiting, refusalCauses.cancelled);
			});
		});
	}

	/** One timer for all calls that wait: a timer for each would cost more than the wait itself. */
	async #sweepWhileWaiting(): Promise<void> {
		if (this.#isSweeping) {
			return;
		}

		this.#isSweeping = true;
		while (this.#queue.length > 0) {
			await this.#clock.sleep(sweepPeriod);
			this.#refuseHopeless();
		}

		this.#isSweeping = false;
	}

	#refuseHopeless(): void {
		const now = this.#clock.now();
		for (const waiting of this.#queue) {
			const {deadline, route} = waiting.request;
			if (deadline < now + Math.max(minRefusalMargin, this.#times.estimate(route))) {
				this.#refuse(waiting, refusalCauses.deadlineNear);
			}
		}
	}

	/** Refuses the oldest call of the longest line among those of the worst rank. */
	#dropWorst(): void {
		const worstRank = Math.max(...this.#queue.map(({rank}) => rank));
		const worst = this.#queue.filter(({rank}) => rank === worstRank);
		const lengths = new Map<string, number>();
		for (const {request} of worst) {
			lengths.set(request.caller, (lengths.get(request.caller) ?? 0) + 1);
		}

		const longest = Math.max(...lengths.values());
		const victim = worst.find(({request}) => lengths.get(request.caller) === longest);
		if (victim) {
			this.#refuse(victim, refusalCauses.queueFull);
		}
	}

	#refuse(waiting: Waiting, cause: AdmissionCause): void {
		if (this.#remove(waiting)) {
			waiting.resolve(this.#buildRefusal(waiting.request, cause));
			// A call that waited to run alone may have held the others back.
			this.#startWaiting();
		}
	}

	#remove(waiting: Waiting): boolean {
		const index = this.#queue.indexOf(waiting);
		if (index !== -1) {
			this.#queue.splice(index, 1);
		}

		return index !== -1;
	}

	/** Gives free slots to those that wait, the best first. */
	#startWaiting(): void {
		while (this.#running < this.#slots) {
			const next = this.#findNext();
			if (next === undefined) {
				return;
			}

			const {request} = next;
			this.#remove(next);
			this.#turn++;
			this.#turns.set(request.caller, this.#turn);
			if (this.#clock.now() + this.#times.estimate(request.route) > request.deadline) {
				next.resolve(this.#buildRefusal(request, refusalCauses.deadlineNear));
			} else {
				next.resolve(this.#admit(request, next.rank));
			}
		}

		if (this.#queue.length === 0) {
			this.#turns.clear();
		}
	}

	#findNext(): Waiting | undefined {
		const alone = this.#queue.find(waiting => waiting.request.isAlone);
		const candidates = alone ? [alone] : this.#queue;
		let best: Waiting | undefined;
		for (const waiting of candidates) {
			if (this.#mayStart(waiting.request) && (best === undefined || this.#compare(waiting, best) < 0)) {
				best = waiting;
			}
		}

		return best;
	}

	/** As `#hasSlot`, for a call whose turn it is. */
	#mayStart(request: AdmissionRequest): boolean {
		const routeCount = this.#routeCounts.get(request.route) ?? 0;
		return !this.#isAloneRunning && !(request.isAlone && this.#running > 0) && routeCount < (request.routeSlots ?? this.#slots);
	}

	#compare(left: Waiting, right: Waiting): number {
		return left.rank - right.rank
			|| Number(this.#isLate(left)) - Number(this.#isLate(right))
			|| (this.#turns.get(left.request.caller) ?? 0) - (this.#turns.get(right.request.caller) ?? 0)
			|| left.request.objective - right.request.objective;
	}

	/** Whether the call will probably miss its objective. */
	#isLate({request, isSpare}: Waiting): boolean {
		return isSpare || this.#clock.now() + this.#times.estimate(request.route) > request.objective;
	}

	/**
	 * Whether the call has to end so soon that it can't hold others up for long.
	 * Such calls are mostly made by upstreams that are at work, whose time is
	 * wasted by a refusal, so that only their deadline counts.
	 */
	#isShort({deadline, objective}: AdmissionRequest): boolean {
		const now = this.#clock.now();
		return deadline - now <= shortCallTime && objective > now + 1;
	}

	#countSpare(): number {
		return this.#queue.filter(waiting => waiting.isSpare).length;
	}

	/** Estimates the time until a call of this rank gets a slot, behind what goes before it and with what its betters use. */
	#estimateWait(request: AdmissionRequest, rank: number): number {
		let work = this.#times.mean;
		for (const waiting of this.#queue) {
			work += this.#isBefore(waiting, request, rank) ? this.#times.estimate(waiting.request.route) : 0;
		}

		const slots = Math.max(1, this.#slots);
		const free = Math.max(slots * minFreeShare, slots - this.#use.sumBefore(rank, this.#clock.now()));
		return work / free;
	}

	/** Whether a call that waits goes before a new one. */
	#isBefore({request, rank, isSpare}: Waiting, other: AdmissionRequest, otherRank: number): boolean {
		return rank < otherRank || (rank === otherRank && !isSpare && request.objective <= other.objective);
	}

	#buildRefusal(request: AdmissionRequest, cause: AdmissionCause): Admission {
		const wait = this.#estimateWait(request, this.#isShort(request) ? shortCallRank : request.rank);
		return {kind: 'refused', refusal: buildAdmissionRefusal(cause, Math.max(minRetryAfter, Math.ceil(wait)))};
	}
}
