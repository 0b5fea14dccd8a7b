/** Decides which calls run now, which wait, and which are refused, at the node beside an upstream. */
import {type Clock} from '@ebonylead/base/base.js';
import {buildAdmissionRefusal, type AdmissionRefusalCause} from './admission-refusals.js';
import {type Cancellation} from './cancellation.js';
import {PriorityUsage, ServiceTimes} from './service-times.js';
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
	readonly priority: number;

	/** Key of the rule that matched. */
	readonly route: string;

	/** Most calls of the route at once, or undefined. */
	readonly routeSlots: number | undefined;

	/** Whether no other call may run beside it: it may have killed an upstream. */
	readonly isExclusive?: boolean;

	/** Ends the wait when the caller leaves. */
	readonly cancellation: Cancellation;
};

/** A slot, or why there is none. */
export type Admission
	= | {readonly kind: 'admitted'; readonly release: () => void}
		| {readonly kind: 'refused'; readonly refusal: NodeRefusal};

type QueuedCall = {
	readonly request: AdmissionRequest;

	/** Rank in the queue: that of the request, or that of short calls. */
	readonly priority: number;

	/** Whether the call was expected to miss its objective when it came; it gets only slots that nobody else can use. */
	readonly isBestEffort: boolean;
	readonly resolve: (admission: Admission) => void;
};

/** Load that an upstream reports while it is leaving. */
const closedLoad = 1000;

/** Calls that may wait for each slot. */
const maxQueuedPerSlot = 4;

/** Calls that may wait for each slot although an answer would come after its objective: they fill slots that would be idle. */
const maxBestEffortPerSlot = 0.25;

/** Longest time in milliseconds that a call may have left to count as short: calls between services have 400 to 650, callers 800 and more. */
const maxShortCallMs = 700;

/** Rank of short calls: before all others, as they hold a slot briefly and a whole call of a caller waits for each. */
const shortCallPriority = -1;

/** A call that waits is refused this long before its deadline, in milliseconds, so that the refusal arrives in time. */
const minRefusalMarginMs = 20;

/** Time between two looks at the deadlines of the calls that wait, in milliseconds. */
const sweepIntervalMs = 10;

/** Mean time of a call in milliseconds before the first one ended. */
const initialMeanMs = 5;

/** Shortest advice to come again, in milliseconds. */
const minRetryAfterMs = 50;

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
	readonly #serviceTimes = new ServiceTimes(initialMeanMs);
	readonly #priorityUsage = new PriorityUsage();
	readonly #runningByRoute = new Map<string, number>();

	/** When each caller last got a slot after waiting, as a count of turns. */
	readonly #lastTurns = new Map<string, number>();
	#turnCount = 0;
	readonly #queue: QueuedCall[] = [];
	#slots: number;
	#running = 0;
	#isClosed = false;
	#isExclusiveRunning = false;
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
		return {mean: Math.round(this.#serviceTimes.mean), slots: this.#slots};
	}

	/** Changes the count of slots; calls that run are left alone. */
	setSlots(slots: number): void {
		this.#slots = slots;
		this.#startQueued();
	}

	/** Refuses all new calls and those that wait; calls that run are left alone. */
	close(): void {
		this.#isClosed = true;
		for (const queued of this.#queue) {
			this.#refuse(queued, refusalCauses.leaving);
		}
	}

	/** Takes calls again after `close`. */
	open(): void {
		this.#isClosed = false;
	}

	/** Asks for a slot. Resolves when the call may run, or at once where it is refused. */
	async admit(request: AdmissionRequest): Promise<Admission> {
		if (this.#isClosed) {
			return this.#buildRefusal(request, refusalCauses.leaving);
		}

		const isShort = this.#isShort(request);
		const priority = isShort ? shortCallPriority : request.priority;
		const isImmediate = this.#queue.length === 0 && this.#canStartNow(request);
		const expectedEnd = this.#clock.now() + (isImmediate ? 0 : this.#estimateWait(request, priority)) + this.#serviceTimes.estimate(request.route);
		if (expectedEnd > request.deadline) {
			return this.#buildRefusal(request, refusalCauses.deadline);
		}

		if (isImmediate) {
			return this.#startCall(request, priority);
		}

		const isBestEffort = expectedEnd > request.objective && !isShort;
		if (isBestEffort && this.#countBestEffort() >= this.#slots * maxBestEffortPerSlot) {
			return this.#buildRefusal(request, refusalCauses.objective);
		}

		return this.#waitForSlot(request, priority, isBestEffort);
	}

	#canStartNow(request: AdmissionRequest): boolean {
		if (this.#isExclusiveRunning || (request.isExclusive && this.#running > 0)) {
			return false;
		}

		if (!request.isExclusive && this.#queue.some(queued => queued.request.isExclusive)) {
			return false;
		}

		const routeCount = this.#runningByRoute.get(request.route) ?? 0;
		return this.#running < this.#slots && routeCount < (request.routeSlots ?? this.#slots);
	}

	#startCall(request: AdmissionRequest, priority: number): Admission {
		const startedAt = this.#clock.now();
		let isReleased = false;
		this.#running++;
		this.#isExclusiveRunning = request.isExclusive ?? false;
		this.#runningByRoute.set(request.route, (this.#runningByRoute.get(request.route) ?? 0) + 1);
		const release = () => {
			if (isReleased) {
				return;
			}

			isReleased = true;
			this.#release(request, priority, this.#clock.now() - startedAt);
		};

		return {kind: 'admitted', release};
	}

	#release(request: AdmissionRequest, priority: number, duration: number): void {
		this.#running--;
		this.#isExclusiveRunning = false;
		this.#serviceTimes.record(request.route, duration);
		this.#priorityUsage.record(priority, duration, this.#clock.now());
		const remaining = (this.#runningByRoute.get(request.route) ?? 1) - 1;
		if (remaining === 0) {
			this.#runningByRoute.delete(request.route);
		} else {
			this.#runningByRoute.set(request.route, remaining);
		}

		this.#startQueued();
	}

	async #waitForSlot(request: AdmissionRequest, priority: number, isBestEffort: boolean): Promise<Admission> {
		return new Promise(resolve => {
			const queued: QueuedCall = {
				request, priority, isBestEffort, resolve,
			};
			this.#queue.push(queued);
			if (this.#queue.length > this.#slots * maxQueuedPerSlot) {
				this.#refuseLowestPriority();
			}

			void this.#runDeadlineSweep();
			request.cancellation.addListener(() => {
				this.#refuse(queued, refusalCauses.cancelled);
			});
		});
	}

	/** One timer for all calls that wait: a timer for each would cost more than the wait itself. */
	async #runDeadlineSweep(): Promise<void> {
		if (this.#isSweeping) {
			return;
		}

		this.#isSweeping = true;
		while (this.#queue.length > 0) {
			await this.#clock.sleep(sweepIntervalMs);
			this.#refuseNearDeadline();
		}

		this.#isSweeping = false;
	}

	#refuseNearDeadline(): void {
		const now = this.#clock.now();
		for (const queued of this.#queue) {
			const {deadline, route} = queued.request;
			if (deadline < now + Math.max(minRefusalMarginMs, this.#serviceTimes.estimate(route))) {
				this.#refuse(queued, refusalCauses.deadlineNear);
			}
		}
	}

	/** Refuses the oldest call of the longest line among those of the worst rank. */
	#refuseLowestPriority(): void {
		const lowestPriority = Math.max(...this.#queue.map(({priority}) => priority));
		const candidates = this.#queue.filter(({priority}) => priority === lowestPriority);
		const queuedByCaller = new Map<string, number>();
		for (const {request} of candidates) {
			queuedByCaller.set(request.caller, (queuedByCaller.get(request.caller) ?? 0) + 1);
		}

		const longestQueue = Math.max(...queuedByCaller.values());
		const refused = candidates.find(({request}) => queuedByCaller.get(request.caller) === longestQueue);
		if (refused) {
			this.#refuse(refused, refusalCauses.queueFull);
		}
	}

	#refuse(queued: QueuedCall, cause: AdmissionRefusalCause): void {
		if (this.#remove(queued)) {
			queued.resolve(this.#buildRefusal(queued.request, cause));
			// A call that waited to run alone may have held the others back.
			this.#startQueued();
		}
	}

	#remove(queued: QueuedCall): boolean {
		const index = this.#queue.indexOf(queued);
		if (index !== -1) {
			this.#queue.splice(index, 1);
		}

		return index !== -1;
	}

	/** Gives free slots to those that wait, the best first. */
	#startQueued(): void {
		while (this.#running < this.#slots) {
			const next = this.#findNext();
			if (next === undefined) {
				return;
			}

			const {request} = next;
			this.#remove(next);
			this.#turnCount++;
			this.#lastTurns.set(request.caller, this.#turnCount);
			if (this.#clock.now() + this.#serviceTimes.estimate(request.route) > request.deadline) {
				next.resolve(this.#buildRefusal(request, refusalCauses.deadlineNear));
			} else {
				next.resolve(this.#startCall(request, next.priority));
			}
		}

		if (this.#queue.length === 0) {
			this.#lastTurns.clear();
		}
	}

	#findNext(): QueuedCall | undefined {
		const exclusive = this.#queue.find(queued => queued.request.isExclusive);
		const candidates = exclusive ? [exclusive] : this.#queue;
		let best: QueuedCall | undefined;
		for (const queued of candidates) {
			if (this.#canStartQueued(queued.request) && (best === undefined || this.#compare(queued, best) < 0)) {
				best = queued;
			}
		}

		return best;
	}

	/** As `#hasSlot`, for a call whose turn it is. */
	#canStartQueued(request: AdmissionRequest): boolean {
		const routeCount = this.#runningByRoute.get(request.route) ?? 0;
		return !this.#isExclusiveRunning && !(request.isExclusive && this.#running > 0) && routeCount < (request.routeSlots ?? this.#slots);
	}

	#compare(left: QueuedCall, right: QueuedCall): number {
		return left.priority - right.priority
			|| Number(this.#isExpectedLate(left)) - Number(this.#isExpectedLate(right))
			|| (this.#lastTurns.get(left.request.caller) ?? 0) - (this.#lastTurns.get(right.request.caller) ?? 0)
			|| left.request.objective - right.request.objective;
	}

	/** Whether the call will probably miss its objective. */
	#isExpectedLate({request, isBestEffort}: QueuedCall): boolean {
		return isBestEffort || this.#clock.now() + this.#serviceTimes.estimate(request.route) > request.objective;
	}

	/**
	 * Whether the call has to end so soon that it can't hold others up for long.
	 * Such calls are mostly made by upstreams that are at work, whose time is
	 * wasted by a refusal, so that only their deadline counts.
	 */
	#isShort({deadline, objective}: AdmissionRequest): boolean {
		const now = this.#clock.now();
		return deadline - now <= maxShortCallMs && objective > now + 1;
	}

	#countBestEffort(): number {
		return this.#queue.filter(queued => queued.isBestEffort).length;
	}

	/** Estimates the time until a call of this rank gets a slot, behind what goes before it and with what its betters use. */
	#estimateWait(request: AdmissionRequest, priority: number): number {
		let queuedMs = this.#serviceTimes.mean;
		for (const queued of this.#queue) {
			queuedMs += this.#isBefore(queued, request, priority) ? this.#serviceTimes.estimate(queued.request.route) : 0;
		}

		const slots = Math.max(1, this.#slots);
		const freeSlots = Math.max(slots * minFreeShare, slots - this.#priorityUsage.computeUsageAhead(priority, this.#clock.now()));
		return queuedMs / freeSlots;
	}

	/** Whether a call that waits goes before a new one. */
	#isBefore({request, priority, isBestEffort}: QueuedCall, other: AdmissionRequest, otherPriority: number): boolean {
		return priority < otherPriority || (priority === otherPriority && !isBestEffort && request.objective <= other.objective);
	}

	#buildRefusal(request: AdmissionRequest, cause: AdmissionRefusalCause): Admission {
		const wait = this.#estimateWait(request, this.#isShort(request) ? shortCallPriority : request.priority);
		return {kind: 'refused', refusal: buildAdmissionRefusal(cause, Math.max(minRetryAfterMs, Math.ceil(wait)))};
	}
}
