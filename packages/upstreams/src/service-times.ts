/** Learns how long calls take, and how much of the slots each rank uses. */

/** Least weight of the newest sample in a mean time; the first samples weigh more. */
const minSampleWeight = 0.1;

/** Routes that are remembered; the least recently used gives way. */
const maxRoutes = 512;

/** Time in milliseconds over which the use of slots is averaged: long against one call, short against a burst. */
const usageWindowMs = 2000;

type RunningMean = {
	value: number;
	count: number;
};

/** Mean times of calls, by route and over all. */
export class ServiceTimes {
	readonly #routes = new Map<string, RunningMean>();
	readonly #overall: RunningMean;

	/** @param initialMeanMs Mean time in milliseconds before the first call ended. */
	constructor(initialMeanMs: number) {
		this.#overall = {value: initialMeanMs, count: 0};
	}

	/** Mean time over all routes in milliseconds. */
	get mean(): number {
		return this.#overall.value;
	}

	/** Returns the mean time of a route in milliseconds; that over all routes before its first call ended. */
	estimate(route: string): number {
		return this.#routes.get(route)?.value ?? this.#overall.value;
	}

	/** Notes a call that ended after a time in milliseconds. */
	record(route: string, duration: number): void {
		const routeMean = this.#routes.get(route) ?? {value: 0, count: 0};
		this.#routes.delete(route);
		this.#routes.set(route, routeMean);
		addSample(routeMean, duration);
		addSample(this.#overall, duration);
		if (this.#routes.size > maxRoutes) {
			this.#routes.delete(this.#routes.keys().next().value!);
		}
	}
}

/** Share of the slots that calls of each rank used lately. */
export class PriorityUsage {
	readonly #usageByPriority = new Map<number, {slotMs: number; updatedAt: number}>();

	/** Notes that a call held a slot for a time in milliseconds up to now. */
	record(priority: number, duration: number, now: number): void {
		this.#usageByPriority.set(priority, {slotMs: this.#computeDecayed(priority, now) + duration, updatedAt: now});
	}

	/** Returns the slots that calls of lower numbers, which go first, used on average. */
	computeUsageAhead(priority: number, now: number): number {
		let sum = 0;
		for (const other of this.#usageByPriority.keys()) {
			sum += other < priority ? this.#computeDecayed(other, now) : 0;
		}

		return sum / usageWindowMs;
	}

	#computeDecayed(priority: number, now: number): number {
		const usage = this.#usageByPriority.get(priority);
		return usage === undefined ? 0 : usage.slotMs * Math.exp((usage.updatedAt - now) / usageWindowMs);
	}
}

function addSample(mean: RunningMean, sample: number): void {
	mean.count++;
	mean.value += (sample - mean.value) * Math.max(minSampleWeight, 1 / mean.count);
}
