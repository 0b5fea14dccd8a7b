/** Counts good and bad calls of each route over the windows of a burn report. */
import {type Clock} from '@ebonylead/base/base.js';

/** The windows of the report, the shortest first; lengths in milliseconds. */
export const burnWindows = [
	{name: '5 min', length: 5 * 60_000},
	{name: '1 h', length: 60 * 60_000},
	{name: '6 h', length: 6 * 60 * 60_000},
	{name: '3 days', length: 72 * 60 * 60_000},
] as const;

/** Good and bad calls of a route, one number for each window. */
export type RouteCounts = {
	readonly route: string;
	readonly good: number[];
	readonly bad: number[];
};

const minute = 60_000;
const hour = 60 * minute;
const minuteBuckets = 60;
const hourBuckets = 72;

/** Most routes that are counted; a route that comes later is not, so that memory is bounded. */
const maxRoutes = 2000;

/** A ring of buckets of one length. */
class BucketRing {
	readonly #length: number;
	readonly #good: Uint32Array;
	readonly #bad: Uint32Array;
	#current: number;

	constructor(length: number, count: number, now: number) {
		this.#length = length;
		this.#good = new Uint32Array(count);
		this.#bad = new Uint32Array(count);
		this.#current = Math.floor(now / length);
	}

	add(isGood: boolean, now: number): void {
		this.#moveTo(now);
		const buckets = isGood ? this.#good : this.#bad;
		buckets[this.#current % buckets.length]!++;
	}

	sum(window: number, now: number): {good: number; bad: number} {
		this.#moveTo(now);
		const count = Math.min(this.#good.length, Math.ceil(window / this.#length));
		const total = {good: 0, bad: 0};
		for (let back = 0; back < count; back++) {
			const index = (this.#current - back + (this.#good.length * 2)) % this.#good.length;
			total.good += this.#good[index]!;
			total.bad += this.#bad[index]!;
		}

		return total;
	}

	/** Empties the buckets of the time that passed since the last use. */
	#moveTo(now: number): void {
		const target = Math.floor(now / this.#length);
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

/** Keeps an hour by minutes and three days by hours, in memory only: it is lost with the VM. */
export class BurnCounters {
	readonly #clock: Clock;
	readonly #routes = new Map<string, RouteRings>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Notes the end of a call. */
	record(route: string, isGood: boolean): void {
		const now = this.#clock.now();
		let rings = this.#routes.get(route);
		if (rings === undefined) {
			if (this.#routes.size >= maxRoutes) {
				return;
			}

			rings = {minutes: new BucketRing(minute, minuteBuckets, now), hours: new BucketRing(hour, hourBuckets, now)};
			this.#routes.set(route, rings);
		}

		rings.minutes.add(isGood, now);
		rings.hours.add(isGood, now);
	}

	/** Returns the counts of all routes that had calls. */
	list(): RouteCounts[] {
		const now = this.#clock.now();
		return [...this.#routes].map(([route, rings]) => {
			const sums = burnWindows.map(({length}) => (length <= minute * minuteBuckets ? rings.minutes : rings.hours).sum(length, now));
			return {route, good: sums.map(sum => sum.good), bad: sums.map(sum => sum.bad)};
		});
	}
}
