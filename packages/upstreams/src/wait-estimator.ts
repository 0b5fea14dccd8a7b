/** Estimates how long calls wait for a slot of an upstream and for a token of its limit. */
import {type Clock} from '@ebonylead/base/base.js';
import {type AdmissionRequest} from './admission-request.js';
import {type AdmissionQueue, type QueuedCall} from './admission-queue.js';
import {type RateLimit} from './rate-limit.js';
import {type RunningCalls} from './running-calls.js';
import {type PriorityUsage, type ServiceTimes} from './service-times.js';
import {SlotSchedule} from './slot-schedule.js';

/** What the estimates are made from. */
export type WaitEstimatorInputs = {
	readonly clock: Clock;
	readonly queue: AdmissionQueue;
	readonly running: RunningCalls;
	readonly serviceTimes: ServiceTimes;
	readonly priorityUsage: PriorityUsage;
	readonly rateLimit: RateLimit;
};

/** Minimum share of the slots that is assumed to be free for a priority, so that the estimated wait stays finite. */
const minFreeShare = 0.1;

/** Estimates waits from the running and queued calls at present. */
export class WaitEstimator {
	readonly #inputs: WaitEstimatorInputs;

	constructor(inputs: WaitEstimatorInputs) {
		this.#inputs = inputs;
	}

	/** Estimates the time in milliseconds until a new call gets a slot and a token of the limit. */
	estimateWait(request: AdmissionRequest, priority: number, slots: number): number {
		return Math.max(this.#estimateSlotWait(request, priority, slots), this.#estimateRateWait(request, priority));
	}

	/** Whether a new call waits for a token of the limit at least as long as for a slot. */
	isWaitForRate(request: AdmissionRequest, priority: number, slots: number): boolean {
		const wait = this.#estimateRateWait(request, priority);
		return wait > 0 && wait >= this.#estimateSlotWait(request, priority, slots);
	}

	/** Lists the queued calls that won't end before their deadlines, even if no call of a higher priority arrives. */
	listHopeless(slots: number, queuedCalls: readonly QueuedCall[]): QueuedCall[] {
		const {clock, serviceTimes, rateLimit} = this.#inputs;
		const now = clock.now();
		const schedule = this.#buildSchedule(slots);
		const hopeless: QueuedCall[] = [];
		let callsAhead = 0;
		for (const queued of queuedCalls) {
			const {deadline, isExclusive, route} = queued.request;
			const duration = serviceTimes.estimate(route);
			const wait = Math.max(schedule.computeStart(isExclusive), rateLimit.computeWait(callsAhead));
			if (now + wait + (queued.isTrial ? 0 : duration) > deadline) {
				hopeless.push(queued);
			} else {
				schedule.add(duration, isExclusive);
				callsAhead++;
			}
		}

		return hopeless;
	}

	#estimateRateWait(request: AdmissionRequest, priority: number): number {
		const {queue, rateLimit} = this.#inputs;
		return rateLimit.rate === undefined ? 0 : rateLimit.computeWait(queue.listBefore(request, priority).length);
	}

	/**
	 * Estimates the time in milliseconds until a call gets a slot, behind the
	 * running calls and the queued ones ahead of it. It is longer the more slots
	 * are used by calls of higher priority, which may arrive later.
	 */
	#estimateSlotWait(request: AdmissionRequest, priority: number, slotCount: number): number {
		const {clock, queue, serviceTimes, priorityUsage} = this.#inputs;
		const schedule = this.#buildSchedule(slotCount);
		const slots = Math.max(1, slotCount);
		let queuedMs = serviceTimes.mean;
		for (const queued of queue.listBefore(request, priority)) {
			const duration = serviceTimes.estimate(queued.request.route);
			queuedMs += duration;
			schedule.add(duration, queued.request.isExclusive);
		}

		const freeShare = 1 - (priorityUsage.computeHigherPriorityUsage(priority, clock.now()) / slots);
		return Math.max(schedule.computeStart(request.isExclusive), queuedMs / slots) / Math.max(minFreeShare, freeShare);
	}

	#buildSchedule(slots: number): SlotSchedule {
		const {clock, running, serviceTimes} = this.#inputs;
		const remainingTimes = running.estimateRemainingTimes(clock.now(), route => serviceTimes.estimate(route));
		const schedule = new SlotSchedule(Math.max(1, slots), remainingTimes);
		if (running.hasExclusive) {
			schedule.add(0, true);
		}

		return schedule;
	}
}
