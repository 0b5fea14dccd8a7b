/** Decides whether a call that would end at some time is refused. */
import {type Clock} from '@ebonylead/base/base.js';
import {type AdmissionQueue} from './admission-queue.js';
import {type AdmissionRefusalCause} from './admission-refusals.js';
import {type AdmissionRequest} from './admission-request.js';
import {type Contention} from './contention.js';
import {type RateLimit} from './rate-limit.js';
import {type PriorityUsage, type ServiceTimes} from './service-times.js';
import {refusalCauses} from './upstreams.js';

/** Dependencies of `AdmissionPolicy`. */
export type AdmissionPolicyDependencies = {
	readonly clock: Clock;
	readonly queue: AdmissionQueue;
	readonly serviceTimes: ServiceTimes;
	readonly priorityUsage: PriorityUsage;
	readonly contention: Contention;
	readonly rateLimit: RateLimit;
};

/** When and how a call would run. */
export type ExpectedRun = {
	/** Monotonic time in milliseconds at which it would get a slot. */
	readonly start: number;

	/** Whether it would get the slot at once. */
	readonly isImmediate: boolean;

	/** Whether only its deadline is considered. */
	readonly isNested: boolean;

	/** Number of slots of the upstream. */
	readonly slots: number;
};

/** Maximum number of queued calls per slot that are expected to miss their objective; they fill slots that would be idle. */
const maxBestEffortPerSlot = 0.25;

/** Share of the slots that calls of lower priorities use from which on they count as getting slots. */
const maxLowerUsage = 0.05;

/** Minimum time before its deadline at which a queued call is refused, so that the refusal arrives in time. */
export const minRefusalMarginMs = 20;

/** Compares when a call would end with its deadline, its objective, and what others lack. */
export class AdmissionPolicy {
	readonly #dependencies: AdmissionPolicyDependencies;

	constructor(dependencies: AdmissionPolicyDependencies) {
		this.#dependencies = dependencies;
	}

	/** Finds why a call is refused that is expected to end at a time; undefined if it is not. */
	findRefusalCause(request: AdmissionRequest, end: number, run: ExpectedRun): AdmissionRefusalCause | undefined {
		if (end > request.deadline) {
			return refusalCauses.deadline;
		}

		const isBestEffort = end > request.objective && !run.isNested;
		return isBestEffort && (this.#mustGiveWay(request, run.slots) || !this.#hasRoomForBestEffort(run)) ? refusalCauses.objective : undefined;
	}

	/** Returns whether a call may run as a trial: only the mean duration of its route speaks against it. */
	canTry(request: AdmissionRequest, run: ExpectedRun): boolean {
		if (run.start + minRefusalMarginMs > request.deadline) {
			return false;
		}

		const isBestEffort = run.start > request.objective && !run.isNested;
		return !isBestEffort || (!this.isContended(request.priority, run.slots) && this.#hasRoomForBestEffort(run));
	}

	/** Returns whether calls in time lack slots, and the slot of a late call would go to these: where less urgent calls get slots, it would go to them. */
	isContended(priority: number, slots: number): boolean {
		const {clock, contention, priorityUsage} = this.#dependencies;
		return contention.isPresent(priority) && priorityUsage.computeLowerPriorityUsage(priority, clock.now()) < slots * maxLowerUsage;
	}

	/** Returns whether a late call gives way to calls that could be in time, as it shows itself or others have shown lately. */
	#mustGiveWay(request: AdmissionRequest, slots: number): boolean {
		const {clock, queue, serviceTimes, contention} = this.#dependencies;
		const {route, objective, priority} = request;
		// One above its share waits for the calls within theirs, and these give way to none.
		if (clock.now() + serviceTimes.estimate(route) <= objective && !queue.isNewAboveShare(request)) {
			contention.record(priority);
		}

		return this.isContended(priority, slots);
	}

	/** Returns whether a late call gets a slot at once, or may be queued; none may where a limit leaves no token idle for it. */
	#hasRoomForBestEffort({isImmediate, slots}: ExpectedRun): boolean {
		const {queue, rateLimit} = this.#dependencies;
		const maxBestEffort = rateLimit.rate === undefined ? slots * maxBestEffortPerSlot : 0;
		return isImmediate || queue.bestEffortCount < maxBestEffort;
	}
}
