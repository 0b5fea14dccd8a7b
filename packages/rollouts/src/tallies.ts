/** Counts bad runs of both versions by route and slice of time. */
import {
	getBucketMean, runKinds, type DurationCounts, type RouteCounts, type RunHistory,
} from './run-counts.js';

/** What is known of the runs of one upstream; of several processes of its sidecar, each has a history. */
export type UpstreamEvidence = {
	readonly id: string;

	/** Whether it is of the new version. */
	readonly isNewer: boolean;
	readonly histories: readonly RunHistory[];
};

/** A number of runs, and how many of them were bad. */
export type Sample = {runs: number; bad: number};

/** Samples of one upstream by stratum: a route within a slice of time. */
export type UpstreamTally = {readonly id: string; readonly strata: ReadonlyMap<string, Sample>};

/** Samples of one measure. */
export type MeasureTally = {readonly older: readonly UpstreamTally[]; readonly newer: readonly UpstreamTally[]};

/** What makes a run bad. The first measure finds faults that show at once, the second one those that begin only after the start, and the third one slowness. */
export const measures = ['failures', 'failures once warm', 'slow runs or failures'] as const;

/** One of `measures`. */
export type Measure = typeof measures[number];

/** A run is slow if it takes longer than this multiple of the older version's mean of the route. */
const slowFactor = 3;

/** A failure of a cold upstream counts only up to this multiple of the mean: a cold one has half the speed, so that its runs may exceed their time. */
const quickFactor = 2;

/** Returns the route of a stratum. */
export function getRoute(stratum: string): string {
	return stratum.slice(0, stratum.indexOf(' '));
}

/** Returns the slice of a stratum. */
export function getSlice(stratum: string): string {
	return stratum.slice(stratum.indexOf(' ') + 1);
}

/** Counts the bad runs of all upstreams. */
export function countBadRuns(evidence: readonly UpstreamEvidence[]): Record<Measure, MeasureTally> {
	const means = computeMeans(evidence.filter(upstream => !upstream.isNewer));
	const build = (measure: Measure, isNewer: boolean) => evidence.filter(upstream => upstream.isNewer === isNewer).map(upstream => countUpstream(upstream, measure, means));
	const buildTally = (measure: Measure): MeasureTally => ({older: build(measure, false), newer: build(measure, true)});
	return {
		failures: buildTally('failures'), 'failures once warm': buildTally('failures once warm'), 'slow runs or failures': buildTally('slow runs or failures'),
	};
}

/** Computes the mean duration in milliseconds of the successful runs of warm upstreams by route. */
function computeMeans(upstreams: readonly UpstreamEvidence[]): Map<string, number> {
	const sums = new Map<string, {count: number; total: number}>();
	for (const [route, , counts] of listCounts(upstreams)) {
		const sum = sums.get(route) ?? {count: 0, total: 0};
		sums.set(route, sum);
		forEachBucket(counts[runKinds.warmSuccess], (duration, count) => {
			sum.count += count;
			sum.total += duration * count;
		});
	}

	return new Map([...sums].filter(([, {count}]) => count > 0).map(([route, {count, total}]) => [route, total / count]));
}

function countUpstream(upstream: UpstreamEvidence, measure: Measure, means: ReadonlyMap<string, number>): UpstreamTally {
	const strata = new Map<string, Sample>();
	for (const [route, slice, counts] of listCounts([upstream])) {
		const stratum = `${route} ${slice}`;
		const sample = strata.get(stratum) ?? {runs: 0, bad: 0};
		strata.set(stratum, sample);
		addRuns(sample, measure, counts, means.get(route));
	}

	return {id: upstream.id, strata};
}

function addRuns(sample: Sample, measure: Measure, counts: RouteCounts, mean = Number.POSITIVE_INFINITY): void {
	const failures = sumCounts(counts[runKinds.warmFailure]);
	sample.runs += failures + sumCounts(counts[runKinds.warmSuccess]);
	sample.bad += failures;
	if (measure === 'failures') {
		const quickFailures = sumCounts(counts[runKinds.coldFailure], duration => duration <= quickFactor * mean);
		sample.runs += quickFailures + sumCounts(counts[runKinds.coldSuccess]);
		sample.bad += quickFailures;
	} else if (measure === 'slow runs or failures') {
		sample.bad += sumCounts(counts[runKinds.warmSuccess], duration => duration > slowFactor * mean);
	}
}

function sumCounts(counts: DurationCounts, isCounted?: (duration: number) => boolean): number {
	let sum = 0;
	forEachBucket(counts, (duration, count) => {
		sum += isCounted === undefined || isCounted(duration) ? count : 0;
	});
	return sum;
}

function forEachBucket(counts: DurationCounts, handle: (duration: number, count: number) => void): void {
	for (let index = 0; index + 1 < counts.length; index += 2) {
		handle(getBucketMean(counts[index]!), counts[index + 1]!);
	}
}

function * listCounts(upstreams: readonly UpstreamEvidence[]): Generator<readonly [route: string, slice: string, counts: RouteCounts]> {
	for (const {histories} of upstreams) {
		for (const history of histories) {
			for (const [slice, routes] of Object.entries(history)) {
				for (const [route, counts] of Object.entries(routes)) {
					yield [route, slice, counts];
				}
			}
		}
	}
}
