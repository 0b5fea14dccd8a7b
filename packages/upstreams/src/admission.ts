/** Admission control of the sidecar: decides which calls run now, which wait in the queue, and which are refused. */
import {type Clock} from '@ebonylead/base/base.js';
import {Acceptance} from './acceptance.js';
import {buildAdmissionRefusal, type AdmissionRefusalCause} from './admission-refusals.js';
import {AdmissionPolicy, minRefusalMarginMs} from './admission-policy.js';
import {AdmissionQueue, type QueuedCall} from './admission-queue.js';
import {type Admission, type AdmissionRequest} from './admission-request.js';
import {Contention} from './contention.js';
import {type QueueShares} from './queue-shares.js';
import {RateLimit} from './rate-limit.js';
import {RouteTrials} from './route-trials.js';
import {RunningCalls} from './running-calls.js';
import {PriorityUsage, ServiceTimes} from './service-times.js';
import {isNestedRequest} from './nested-calls.js';
import {refusalCauses} from './upstreams.js';
import {WaitEstimator} from './wait-estimator.js';

/** Load in calls per slot that is reported after `close`, while the upstream is draining or absent. */
const closedLoad = 1000;

/** Maximum number of queued calls per slot. */
const maxQueuedPerSlot = 4;

/** Priority of nested calls: above all others, as each holds a slot only briefly while the call that it was made for waits. */
const nestedCallPriority = -1;

/** Interval between two checks of the deadlines of queued calls. */
const sweepIntervalMs = 10;

/** Minimum interval between two checks of whether the queued calls can still end before their deadlines. */
const forecastIntervalMs = 50;

/** Mean duration of a call that is assumed before the first one has ended. */
const initialMeanMs = 5;

/** Minimum retry-after time of a refusal. */
const minRetryAfterMs = 50;

/** Minimum number of slots that an upstream with a limit counts as, so that its load stays finite. */
const minEffectiveSlots = 0.1;
const millisecondsPerSecond = 1000;

/**
 * Assigns the slots of one upstream to calls.
 *
 * Calls that find no free slot wait in a short queue. Slots go to the highest
 * priority first, then to calls that can still meet their objective, then to
 * the callers in round robin, then to the earliest objective. Under overload a
 * call that would miss its objective is refused at once, even if a slot is free,
 * while others can meet theirs, so that the calls that are served are served in time. When the queue
 * is full, the oldest call of the caller with the most queued calls of the
 * lowest priority is refused. Where there are organisations, their shares come
 * before the priorities, and take the place of the callers' turns.
 *
 * Where the upstream names a limit, a call needs a token of that limit as well as
 * a slot.
 */
export class AdmissionControl {
	readonly #clock: Clock;
	readonly #serviceTimes = new ServiceTimes(initialMeanMs);
	readonly #priorityUsage = new PriorityUsage();
	readonly #running = new RunningCalls();
	readonly #queue = new AdmissionQueue();
	readonly #rateLimit: RateLimit;
	readonly #estimator: WaitEstimator;
	readonly #acceptance: Acceptance;
	readonly #trials: RouteTrials;
	readonly #policy: AdmissionPolicy;
	#slots: number;
	#isClosed = false;
	#isSweeping = false;
	#forecastAt = 0;

	constructor(clock: Clock, slots: number) {
		this.#clock = clock;
		this.#slots = slots;
		this.#rateLimit = new RateLimit(clock);
		this.#acceptance = new Acceptance(clock);
		this.#trials = new RouteTrials(clock);
		this.#policy = new AdmissionPolicy({
			clock, queue: this.#queue, serviceTimes: this.#serviceTimes, priorityUsage: this.#priorityUsage, contention: new Contention(clock), rateLimit: this.#rateLimit,
		});
		this.#estimator = new WaitEstimator({
			clock, queue: this.#queue, running: this.#running, serviceTimes: this.#serviceTimes, priorityUsage: this.#priorityUsage, rateLimit: this.#rateLimit,
		});
	}

	/**
	 * Running and queued calls per slot; `closedLoad` while all calls are refused, so that entry nodes choose other candidates at once.
	 * An upstream with a limit counts as many slots as its limit keeps busy, and one that has no token left as busier by that.
	 */
	get load(): number {
		if (this.#isClosed) {
			return closedLoad;
		}

		if (this.#slots === 0) {
			return 1;
		}

		const {rate} = this.#rateLimit;
		const count = this.#running.count + this.#queue.withinSharesCount;
		if (rate === undefined) {
			return count / this.#slots;
		}

		const missingTokens = this.#rateLimit.computeWait() * rate / millisecondsPerSecond;
		return (count + missingTokens) / this.#computeEffectiveSlots(rate);
	}

	/** Share of the admitted calls that the upstream accepts, between 0 and 1. */
	get acceptance(): number {
		return this.#acceptance.share;
	}

	/** Requests per second that the upstream takes; undefined if it names no limit. */
	get rateLimit(): number | undefined {
		return this.#rateLimit.rate;
	}

	/** Number of running calls. */
	get running(): number {
		return this.#running.count;
	}

	/** Number of queued calls. */
	get waiting(): number {
		return this.#queue.length;
	}

	/** Inputs of the wait estimate, for the log: the mean duration of a call in milliseconds, and the number of slots. */
	get estimates(): {readonly mean: number; readonly slots: number; readonly rateLimit?: number; readonly requestWait?: number} {
		const {rate} = this.#rateLimit;
		const slotEstimates = {mean: Math.round(this.#serviceTimes.mean), slots: this.#slots};
		return rate === undefined ? slotEstimates : {...slotEstimates, rateLimit: rate, requestWait: Math.round(this.#rateLimit.computeWait())};
	}

	/** Describes what calls of a route are judged by, for the log: their mean duration, and the time since one started or ended, in milliseconds. */
	describeRoute(route: string): {readonly routeMean: number; readonly routeAge: number | undefined} {
		return {routeMean: Math.round(this.#serviceTimes.estimate(route)), routeAge: this.#trials.findAge(route)};
	}

	/** Sets the limit of the upstream in requests per second, or removes it; running calls are not affected. */
	setRateLimit(rate: number | undefined): void {
		this.#rateLimit.setRate(rate);
		this.#startQueued();
	}

	/** Sets the number of slots; running calls are not affected. */
	setSlots(slots: number): void {
		this.#slots = slots;
		this.#startQueued();
	}

	/** Sets how slots are divided among those that calls are made for. */
	setQueueShares(shares: QueueShares): void {
		this.#queue.setShares(shares);
	}

	/** Refuses all new and queued calls; running calls are not affected. */
	close(): void {
		this.#isClosed = true;
		this.#refuseAll(this.#queue.removeAll(), refusalCauses.leaving);
	}

	/** Admits calls again after `close`. */
	open(): void {
		this.#isClosed = false;
	}

	/** Resolves with a slot when the call may run, or with a refusal: at once, or while the call is queued. */
	async admit(request: AdmissionRequest): Promise<Admission> {
		if (this.#isClosed) {
			return this.#buildRefusal(request, refusalCauses.leaving);
		}

		if (request.cancellation.isCancelled) {
			return this.#buildRefusal(request, refusalCauses.cancelled);
		}

		const isNested = isNestedRequest(request, this.#clock.now());
		const priority = isNested ? nestedCallPriority : request.priority;
		const isImmediate = this.#queue.length === 0 && this.#canStart(request);
		const start = this.#clock.now() + (isImmediate ? 0 : this.#estimator.estimateWait(request, priority, this.#slots));
		const expectedEnd = start + this.#serviceTimes.estimate(request.route);
		const run = {
			start, isImmediate, isNested, slots: this.#slots,
		};
		const cause = this.#policy.findRefusalCause(request, expectedEnd, run);
		const isTrial = cause !== undefined && this.#policy.canTry(request, run) && this.#trials.admit(request.route, this.#slots);
		if (cause !== undefined && !isTrial) {
			const isLimited = !isImmediate && this.#estimator.isWaitForRate(request, priority, this.#slots);
			return this.#buildRefusal(request, isLimited ? refusalCauses.rateLimit : cause);
		}

		const isBestEffort = !isNested && (isTrial ? start : expectedEnd) > request.objective;
		return isImmediate
			? this.#startCall(request, priority, isTrial)
			: this.#waitForSlot({
				request, priority, isTrial, isBestEffort,
			});
	}

	#canStart(request: AdmissionRequest): boolean {
		if (this.#running.hasExclusive || (request.isExclusive && this.#running.count > 0)) {
			return false;
		}

		return this.#rateLimit.computeWait() === 0 && this.#running.count < this.#slots && this.#running.countRoute(request.route) < (request.routeSlots ?? this.#slots);
	}

	#startCall(request: AdmissionRequest, priority: number, isTrial: boolean): Admission {
		const call = {route: request.route, startedAt: this.#clock.now(), isExclusive: request.isExclusive ?? false};
		let isReleased = false;
		this.#running.add(call);
		if (!isTrial) {
			this.#trials.recordCall(request.route);
		}

		this.#rateLimit.recordStart();
		this.#queue.recordStart(request, this.#serviceTimes.estimate(request.route));
		const release = (isAccepted = true) => {
			if (isReleased) {
				return;
			}

			isReleased = true;
			const now = this.#clock.now();
			const duration = now - call.startedAt;
			this.#running.remove(call);
			this.#acceptance.record(isAccepted);
			this.#recordDuration(request, duration, {isTrial, isAccepted});
			if (isAccepted) {
				this.#priorityUsage.record(priority, duration, now);
			}

			this.#startQueued();
		};

		return {kind: 'admitted', isTrial, release};
	}

	/** Records how long a call ran, if the upstream accepted it. A trial that was cancelled shows only that it takes at least as long. */
	#recordDuration({route, cancellation}: AdmissionRequest, duration: number, {isTrial, isAccepted}: {readonly isTrial: boolean; readonly isAccepted: boolean}): void {
		const isFaster = duration < this.#serviceTimes.estimate(route);
		const isCut = isTrial && cancellation.isCancelled;
		if (isAccepted && !(isCut && isFaster)) {
			this.#serviceTimes.record(route, duration, isTrial);
		}

		if (isTrial) {
			this.#trials.recordEnd(route, !isAccepted || isCut || !isFaster);
		} else {
			this.#trials.recordCall(route);
		}
	}

	async #waitForSlot(call: Omit<QueuedCall, 'resolve'>): Promise<Admission> {
		return new Promise(resolve => {
			const queued: QueuedCall = {...call, resolve};
			const {request} = call;
			this.#queue.add(queued);
			if (this.#queue.length > this.#slots * maxQueuedPerSlot) {
				this.#refuse(this.#queue.findRefused()!, refusalCauses.queueFull);
			}

			void this.#runDeadlineSweep();
			request.cancellation.addListener(() => {
				this.#refuse(queued, refusalCauses.cancelled);
			});
		});
	}

	/** Checks the deadlines of all queued calls with one timer; a timer per call would cost more than the queueing itself. */
	async #runDeadlineSweep(): Promise<void> {
		if (this.#isSweeping) {
			return;
		}

		this.#isSweeping = true;
		while (this.#queue.length > 0) {
			await this.#clock.sleep(sweepIntervalMs);
			this.#refuseNearDeadline();
			if (this.#rateLimit.rate !== undefined) {
				this.#refuseLate();
				this.#startQueued();
			}
		}

		this.#isSweeping = false;
	}

	#refuseNearDeadline(): void {
		const now = this.#clock.now();
		const near = this.#queue.listAll().filter(queued => queued.request.deadline < now + Math.max(minRefusalMarginMs, this.#estimateDuration(queued)));
		for (const queued of near) {
			this.#queue.remove(queued);
		}

		this.#refuseAll(near, refusalCauses.deadlineNear);
		if (this.#serviceTimes.hasSamples && now - this.#forecastAt >= forecastIntervalMs) {
			this.#forecastAt = now;
			this.#refuseHopeless();
		}
	}

	/** Refuses queued calls that miss their objective: while there is a limit, those in time take all of its tokens. */
	#refuseLate(): void {
		const late = this.#queue.listAll().filter(queued => queued.priority !== nestedCallPriority && this.#isExpectedLate(queued));
		for (const queued of late) {
			this.#queue.remove(queued);
		}

		this.#refuseAll(late, refusalCauses.rateLimit);
	}

	/** Refuses queued calls that won't end before their deadlines, even if no call of a higher priority arrives. */
	#refuseHopeless(): void {
		const hopeless = this.#estimator.listHopeless(this.#slots, this.#queue.listInOrder(call => this.#isExpectedLate(call)));
		for (const queued of hopeless) {
			this.#queue.remove(queued);
		}

		if (hopeless.length > 0) {
			this.#refuseAll(hopeless, refusalCauses.deadlineNear);
		}
	}

	#refuse(queued: QueuedCall, cause: AdmissionRefusalCause): void {
		if (this.#queue.remove(queued)) {
			this.#refuseAll([queued], cause);
		}
	}

	/** Refuses calls that were removed from the queue. */
	#refuseAll(removed: readonly QueuedCall[], cause: AdmissionRefusalCause): void {
		for (const {request, isTrial, resolve} of removed) {
			if (isTrial) {
				this.#trials.recordEnd(request.route, false);
			}

			resolve(this.#buildRefusal(request, cause));
		}

		// The others may have been waiting behind an exclusive call.
		this.#startQueued();
	}

	/** Assigns free slots to queued calls in their order. */
	#startQueued(): void {
		while (this.#running.count < this.#slots) {
			const next = this.#findNext();
			if (next === undefined) {
				return;
			}

			const {request} = next;
			const usagePriority = this.#queue.recordTurn(next);
			this.#queue.remove(next);
			if (this.#clock.now() + this.#estimateDuration(next) > request.deadline) {
				this.#refuseAll([next], refusalCauses.deadlineNear);
			} else if (next.priority !== nestedCallPriority && this.#isExpectedLate(next) && this.#policy.isContended(request.priority, this.#slots)) {
				this.#refuseAll([next], refusalCauses.objective);
			} else {
				next.resolve(this.#startCall(request, usagePriority, next.isTrial));
			}
		}
	}

	/** Finds the queued call that starts next; a queued exclusive call holds up the others. */
	#findNext(): QueuedCall | undefined {
		const exclusive = this.#queue.findExclusive();
		const candidates = exclusive ? [exclusive] : this.#queue.listInOrder(queued => this.#isExpectedLate(queued));
		return candidates.find(({request}) => this.#canStart(request));
	}

	/** Whether the call is expected to miss its objective. */
	#isExpectedLate(queued: QueuedCall): boolean {
		return queued.isBestEffort || this.#clock.now() + this.#estimateDuration(queued) > queued.request.objective;
	}

	/** Returns the mean duration of a call's route in milliseconds; 0 for a trial, which runs whatever the mean is. */
	#estimateDuration({request, isTrial}: QueuedCall): number {
		return isTrial ? 0 : this.#serviceTimes.estimate(request.route);
	}

	/** Computes the number of slots that an upstream with a limit keeps busy. */
	#computeEffectiveSlots(rate: number): number {
		const busySlots = this.#serviceTimes.hasSamples ? rate * this.#serviceTimes.mean / millisecondsPerSecond : this.#slots;
		return Math.max(minEffectiveSlots, Math.min(this.#slots, busySlots));
	}

	#buildRefusal(request: AdmissionRequest, cause: AdmissionRefusalCause): Admission {
		const wait = this.#estimator.estimateWait(request, isNestedRequest(request, this.#clock.now()) ? nestedCallPriority : request.priority, this.#slots);
		const state = {isAboveShare: this.#queue.isNewAboveShare(request), isContended: this.#policy.isContended(request.priority, this.#slots)};
		return {kind: 'refused', refusal: buildAdmissionRefusal(cause, Math.max(minRetryAfterMs, Math.ceil(wait)), state)};
	}
}
