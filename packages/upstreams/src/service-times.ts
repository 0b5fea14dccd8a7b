/** Measures the durations of calls and the slot usage of each priority, as inputs of admission control. */

/** Minimum weight of a new sample in the moving average; the first samples weigh more. */
const minSampleWeight = 0.1;

/** Minimum weight of the sample of a trial that was faster than the mean of its route: it shows that the mean is of another time. */
const minTrialWeight = 0.5;

/** Maximum number of routes with their own mean; the least recently used one is removed. */
const maxRoutes = 512;

/** Time constant of the slot usage average: long compared with one call, short compared with a burst. */
const usageTimeConstantMs = 2000;

type RunningMean = {
	value: number;
	count: number;
};

/** Moving averages of the durations of calls, by route and over all routes. */
export class ServiceTimes {
	readonly #routes = new Map<string, RunningMean>();
	readonly #overall: RunningMean;

	/** @param initialMeanMs Assumed mean duration in milliseconds before the first call has ended. */
	constructor(initialMeanMs: number) {
		this.#overall = {value: initialMeanMs, count: 0};
	}

	/** Mean duration over all routes in milliseconds. */
	get mean(): number {
		return this.#overall.value;
	}

	/** Whether a call has ended, so that the means are measured ones. */
	get hasSamples(): boolean {
		return this.#overall.count > 0;
	}

	/** Returns the mean duration of a route in milliseconds, or that of all routes before the first call of the route has ended. */
	estimate(route: string): number {
		return this.#routes.get(route)?.value ?? this.#overall.value;
	}

	/**
	 * Records a call that ended.
	 *
	 * @param duration Duration in milliseconds.
	 * @param isTrial Whether the call ran although the mean said that it would not end in time.
	 */
	record(route: string, duration: number, isTrial = false): void {
		const routeMean = this.#routes.get(route) ?? {value: 0, count: 0};
		this.#routes.delete(route);
		this.#routes.set(route, routeMean);
		addSample(routeMean, duration, isTrial && duration < routeMean.value ? minTrialWeight : minSampleWeight);
		addSample(this.#overall, duration, minSampleWeight);
		if (this.#routes.size > maxRoutes) {
			this.#routes.delete(this.#routes.keys().next().value!);
		}
	}
}

/** Exponentially decaying average of the slots that calls of each priority use. */
export class PriorityUsage {
	readonly #usageByPriority = new Map<number, {slotMs: number; updatedAt: number}>();

	/** Records that a call occupied a slot for a duration in milliseconds up to now. */
	record(priority: number, duration: number, now: number): void {
		this.#usageByPriority.set(priority, {slotMs: this.#computeDecayed(priority, now) + duration, updatedAt: now});
	}

	/** Returns the average number of slots in use by calls of higher priority, that is of lower numbers. */
	computeHigherPriorityUsage(priority: number, now: number): number {
		return this.#computeUsage(other => other < priority, now);
	}

	/** Returns the average number of slots in use by calls of lower priority, that is of higher numbers. */
	computeLowerPriorityUsage(priority: number, now: number): number {
		return this.#computeUsage(other => other > priority, now);
	}

	#computeUsage(isIncluded: (priority: number) => boolean, now: number): number {
		let sum = 0;
		for (const priority of this.#usageByPriority.keys()) {
			sum += isIncluded(priority) ? this.#computeDecayed(priority, now) : 0;
		}

		return sum / usageTimeConstantMs;
	}

	#computeDecayed(priority: number, now: number): number {
		const usage = this.#usageByPriority.get(priority);
		return usage === undefined ? 0 : usage.slotMs * Math.exp((usage.updatedAt - now) / usageTimeConstantMs);
	}
}

function addSample(mean: RunningMean, sample: number, minWeight: number): void {
	mean.count++;
	mean.value += (sample - mean.value) * Math.max(minWeight, 1 / mean.count);
}
