/** Learns how long calls take, and how much of the slots each rank uses. */

/** Least weight of the newest sample in a mean time; the first samples weigh more. */
const minMeanWeight = 0.1;

/** Routes that are remembered; the least recently used gives way. */
const maxRoutes = 512;

/** Time in milliseconds over which the use of slots is averaged: long against one call, short against a burst. */
const useWindow = 2000;

type Mean = {
	value: number;
	count: number;
};

/** Mean times of calls, by route and over all. */
export class ServiceTimes {
	readonly #routes = new Map<string, Mean>();
	readonly #overall: Mean;

	/** @param firstMean Mean time in milliseconds before the first call ended. */
	constructor(firstMean: number) {
		this.#overall = {value: firstMean, count: 0};
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
		const known = this.#routes.get(route) ?? {value: 0, count: 0};
		this.#routes.delete(route);
		this.#routes.set(route, known);
		addSample(known, duration);
		addSample(this.#overall, duration);
		if (this.#routes.size > maxRoutes) {
			this.#routes.delete(this.#routes.keys().next().value!);
		}
	}
}

/** Share of the slots that calls of each rank used lately. */
export class RankUse {
	readonly #uses = new Map<number, {amount: number; at: number}>();

	/** Notes that a call held a slot for a time in milliseconds up to now. */
	record(rank: number, duration: number, now: number): void {
		this.#uses.set(rank, {amount: this.#decay(rank, now) + duration, at: now});
	}

	/** Returns the slots that calls of lower numbers, which go first, used on average. */
	sumBefore(rank: number, now: number): number {
		let sum = 0;
		for (const other of this.#uses.keys()) {
			sum += other < rank ? this.#decay(other, now) : 0;
		}

		return sum / useWindow;
	}

	#decay(rank: number, now: number): number {
		const use = this.#uses.get(rank);
		return use === undefined ? 0 : use.amount * Math.exp((use.at - now) / useWindow);
	}
}

function addSample(mean: Mean, sample: number): void {
	mean.count++;
	mean.value += (sample - mean.value) * Math.max(minMeanWeight, 1 / mean.count);
}
