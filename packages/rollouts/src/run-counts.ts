/** Counts the runs of a local upstream, as evidence for the judgement of a roll-out. */
import {hashText} from '@ebonylead/base/hash.js';
import {runOutcomes, type RunObserver, type UpstreamRun} from '@ebonylead/upstreams/run-observer.js';

/**
 * Numbers of runs by duration: pairs of the index of a bucket and its count, one
 * after the other. The bounds of the buckets grow by `bucketGrowth`.
 */
export type DurationCounts = readonly number[];

/** Runs of one route: cold successes, cold failures, warm successes, warm failures. */
export type RouteCounts = readonly [DurationCounts, DurationCounts, DurationCounts, DurationCounts];

/** Runs in one slice of time, by a short key of the route. */
export type SliceCounts = Readonly<Record<string, RouteCounts>>;

/** Runs by slice of time; cumulative within each slice. */
export type RunHistory = Readonly<Record<string, SliceCounts>>;

/** Indexes in `RouteCounts`. */
export const runKinds = {
	coldSuccess: 0,
	coldFailure: 1,
	warmSuccess: 2,
	warmFailure: 3,
} as const;

/** Ratio of the bounds of a bucket: a threshold is known to a quarter. */
const bucketGrowth = 1.25;

/** Highest bucket; it begins at 11 minutes. */
const maxBucket = 60;

/** Duration in milliseconds of a slice of time. Both versions are compared within a slice, so that what affects both at one time does not count against one. */
export const sliceMs = 2000;

/** Maximum number of slices; what comes later is counted in the last one. */
const maxSlices = 32;

/** Maximum number of routes that are told apart, which bounds the size of a report. */
export const maxRoutes = 32;

/** Key of the runs of all further routes. */
const otherRoutes = 'other';
const keyRadix = 36;

/** Computes the bucket of a duration in milliseconds. */
export function computeBucket(duration: number): number {
	return Math.max(0, Math.min(maxBucket, Math.floor(Math.log(duration) / Math.log(bucketGrowth))));
}

/** Geometric means of the bounds of the buckets, in milliseconds. */
const bucketMeans = Array.from({length: maxBucket + 1}, (_, bucket) => bucketGrowth ** (bucket + 0.5));

/** Returns the geometric mean of the bounds of a bucket, in milliseconds. */
export function getBucketMean(bucket: number): number {
	return bucketMeans[bucket] ?? bucketMeans.at(-1)!;
}

type RouteBuckets = [number[], number[], number[], number[]];

/** Counts runs from the time at which an order is known; without one, a run costs nothing. */
export class RunCounts implements RunObserver {
	readonly #isWarm: () => boolean;
	#getAge: (() => number) | undefined;
	readonly #slices = new Map<number, Map<string, RouteBuckets>>();

	/** Short keys by route, kept as hashes cost time. */
	readonly #keys = new Map<string, string>();
	#runCount = 0;

	/** @param isWarm Returns whether the upstream has reached its full speed. */
	constructor(isWarm: () => boolean) {
		this.#isWarm = isWarm;
	}

	/** Number of runs since the start. */
	get runCount(): number {
		return this.#runCount;
	}

	/**
	 * Starts to count from zero.
	 *
	 * @param getAge Returns the time in milliseconds since the order.
	 */
	start(getAge: () => number): void {
		this.stop();
		this.#getAge = getAge;
	}

	/** Stops counting. */
	stop(): void {
		this.#getAge = undefined;
		this.#slices.clear();
		this.#keys.clear();
		this.#runCount = 0;
	}

	recordRun({route, outcome, duration}: UpstreamRun): void {
		if (this.#getAge === undefined) {
			return;
		}

		this.#runCount++;
		const counts = this.#getRoute(computeSlice(this.#getAge()), this.#getKey(route));
		const kind = (this.#isWarm() ? runKinds.warmSuccess : runKinds.coldSuccess) + (outcome === runOutcomes.failure ? 1 : 0);
		const buckets = counts[kind]!;
		const bucket = computeBucket(duration);
		buckets[bucket] = (buckets[bucket] ?? 0) + 1;
	}

	/** Lists the counts of the slices from a given one on. */
	listSince(firstSlice: number): RunHistory {
		const history: Record<string, SliceCounts> = {};
		for (const [slice, routes] of this.#slices) {
			if (slice >= firstSlice) {
				history[slice] = Object.fromEntries([...routes].map(([key, counts]) => [key, counts.map(buckets => listPairs(buckets)) as unknown as RouteCounts]));
			}
		}

		return history;
	}

	#getRoute(slice: number, key: string): RouteBuckets {
		let routes = this.#slices.get(slice);
		if (routes === undefined) {
			routes = new Map();
			this.#slices.set(slice, routes);
		}

		let counts = routes.get(key);
		if (counts === undefined) {
			counts = [[], [], [], []];
			routes.set(key, counts);
		}

		return counts;
	}

	#getKey(route: string): string {
		let key = this.#keys.get(route);
		if (key === undefined) {
			if (this.#keys.size >= maxRoutes - 1) {
				return otherRoutes;
			}

			key = hashText(route).toString(keyRadix);
			this.#keys.set(route, key);
		}

		return key;
	}
}

/** Computes the slice of a time since the order, in milliseconds. */
export function computeSlice(age: number): number {
	return Math.max(0, Math.min(maxSlices - 1, Math.floor(age / sliceMs)));
}

function listPairs(buckets: readonly number[]): number[] {
	// `entries` visits the buckets without a count too, as undefined.
	return [...buckets.entries()].flatMap(([bucket, count]) => (count as number | undefined) === undefined ? [] : [bucket, count]);
}
