/** Counts good and bad calls of each route over the windows of an error-budget burn report. */
import {type Clock} from '@ebonylead/base/base.js';

/** The windows of the burn report, shortest first; lengths in milliseconds. */
export const burnWindows = [
	{name: '5 min', length: 5 * 60_000},
	{name: '1 h', length: 60 * 60_000},
	{name: '6 h', length: 6 * 60 * 60_000},
	{name: '3 days', length: 72 * 60 * 60_000},
] as const;

/** Numbers of good and bad calls of a route, one for each of `burnWindows`. */
export type RouteCounts = {
	readonly route: string;
	readonly good: number[];
	readonly bad: number[];
};

const minuteMs = 60_000;
const hourMs = 60 * minuteMs;
const minuteBucketCount = 60;
const hourBucketCount = 72;

/** Maximum number of routes that are counted; further ones are ignored, so that memory stays bounded. */
const maxRoutes = 2000;

/** A ring buffer of counters, each for the same length of time. */
class BucketRing {
	readonly #bucketMs: number;
	readonly #good: Uint32Array;
	readonly #bad: Uint32Array;
	#current: number;

	constructor(bucketMs: number, count: number, now: number) {
		this.#bucketMs = bucketMs;
		this.#good = new Uint32Array(count);
		this.#bad = new Uint32Array(count);
		this.#current = Math.floor(now / bucketMs);
	}

	add(isGood: boolean, now: number): void {
		this.#removeExpired(now);
		const buckets = isGood ? this.#good : this.#bad;
		buckets[this.#current % buckets.length]!++;
	}

	countCalls(windowMs: number, now: number): {good: number; bad: number} {
		this.#removeExpired(now);
		const count = Math.min(this.#good.length, Math.ceil(windowMs / this.#bucketMs));
		const total = {good: 0, bad: 0};
		for (let offset = 0; offset < count; offset++) {
			const index = (this.#current - offset + (this.#good.length * 2)) % this.#good.length;
			total.good += this.#good[index]!;
			total.bad += this.#bad[index]!;
		}

		return total;
	}

	/** Moves to the current bucket, and clears those whose time began since the last use. */
	#removeExpired(now: number): void {
		const target = Math.floor(now / this.#bucketMs);
		const steps = Math.min(this.#good.length, target - this.#current);
		for (let step = 1; step <= steps; step++) {
			const index = (target - steps + step) % this.#good.length;
			this.#good[index] = 0;
			this.#bad[index] = 0;
		}

		this.#current = Math.max(this.#current, target);
	}
}

type RouteRings = {
	readonly minutes: BucketRing;
	readonly hours: BucketRing;
};

/** Counts the calls of the last hour by minute and of the last three days by hour. The counts are in memory only, so a restart of the process loses them. */
export class BurnCounters {
	readonly #clock: Clock;
	readonly #routes = new Map<string, RouteRings>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records the end of a call. */
	record(route: string, isGood: boolean): void {
		const now = this.#clock.now();
		let rings = this.#routes.get(route);
		if (rings === undefined) {
			if (this.#routes.size >= maxRoutes) {
				return;
			}

			rings = {minutes: new BucketRing(minuteMs, minuteBucketCount, now), hours: new BucketRing(hourMs, hourBucketCount, now)};
			this.#routes.set(route, rings);
		}

		rings.minutes.add(isGood, now);
		rings.hours.add(isGood, now);
	}

	/** Lists the counts of all routes that had calls. */
	list(): RouteCounts[] {
		const now = this.#clock.now();
		return [...this.#routes].map(([route, rings]) => {
			const sums = burnWindows.map(({length}) => (length <= minuteMs * minuteBucketCount ? rings.minutes : rings.hours).countCalls(length, now));
			return {route, good: sums.map(sum => sum.good), bad: sums.map(sum => sum.bad)};
		});
	}
}
