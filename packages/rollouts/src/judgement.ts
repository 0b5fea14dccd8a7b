/** Judges a new version by its runs and those of the older one at the same time. Answers loads from a few calls to thousands per second. */
import {Baseline, countAll} from './baseline.js';
import {LikelihoodRatio, computeSingleErrorRate} from './sequential-test.js';
import {
	countBadRuns, getRoute, measures, type Measure, type MeasureTally, type UpstreamEvidence, type UpstreamTally,
} from './tallies.js';

/** What the runs show of the new version. */
export type Judgement = {
	/** Whether it is bad. */
	readonly isBad: boolean;

	/** Highest likelihood ratio of a test for a fault; below 1 if the new version looks no worse than the older one. */
	readonly suspicion: number;

	/** Which test and figures this is based on, for operators. */
	readonly reason: string;

	/** Number of runs of the new version that were compared. */
	readonly runs: number;
};

/** Maximum probability that a good version is rolled back by the tests of one roll-out. */
const errorRate = 0.001;

/** Number of runs from which on an upstream is judged by itself. */
const minUpstreamRuns = 5;

/** Number of runs for each upstream below which the upstreams of a route are judged together, without the worst one. */
const minSeparateRuns = 20;

/** Share and number of the exposed upstreams that must show a fault: a bad VM is no bad version. */
const minFaultyShare = 0.5;
const minFaultyUpstreams = 2;

/** Number of bad responses from which on the share alone decides, and the multiple of the older version's share. Calls sent 5 s later must not reach a bad version. */
const maxBadResponses = 50;
const badShareFactor = 2;

/** Logarithm of the likelihood ratio that each of the upstreams must have that this needs, and their minimum number of bad runs. */
const minUpstreamLog = 2;
const minUpstreamBad = 3;

/** Part of a judgement that one test gives; the logarithm is that of its likelihood ratio. */
type Finding = {readonly isBad: boolean; readonly log: number; readonly reason: string};

/** A test of a route, or of all of them together if the route is undefined. */
type RouteTest = {
	readonly measure: Measure;
	readonly route: string | undefined;
	readonly newer: readonly UpstreamTally[];
	readonly baseline: Baseline;
	readonly testErrorRate: number;

	/** Whether only one upstream of the new version has runs, on whatever route. */
	readonly isOnlyUpstream: boolean;
};

/** Judges the new version. */
export function judgeRollout(evidence: readonly UpstreamEvidence[]): Judgement {
	const tallies = countBadRuns(evidence);
	const findings = measures.flatMap(measure => judgeMeasure(measure, tallies[measure]));
	const worst = findings.find(finding => finding.isBad) ?? findings.toSorted((left, right) => right.log - left.log)[0];
	return {
		isBad: worst?.isBad ?? false,
		suspicion: Math.exp(Math.max(Number.NEGATIVE_INFINITY, ...findings.map(({log}) => log))),
		reason: worst?.reason ?? 'no runs of the new version',
		runs: tallies.failures.newer.reduce((sum, tally) => sum + countAll(tally).runs, 0),
	};
}

function judgeMeasure(measure: Measure, {older, newer}: MeasureTally): Finding[] {
	const baseline = new Baseline(older);
	const routes = new Set(newer.flatMap(({strata}) => [...strata.keys()].map(stratum => getRoute(stratum))));
	const testCount = (routes.size + 1) * measures.length;
	const findings = [undefined, ...routes].map(route => judgeRoute({
		measure, route, newer: selectRoute(newer, route), baseline, testErrorRate: errorRate / testCount, isOnlyUpstream: newer.length === 1,
	}));
	return [...findings, countBadResponses(measure, newer, baseline)].filter(finding => finding !== undefined);
}

function selectRoute(tallies: readonly UpstreamTally[], route: string | undefined): UpstreamTally[] {
	return tallies
		.map(({id, strata}) => ({id, strata: route === undefined ? strata : new Map([...strata].filter(([stratum]) => getRoute(stratum) === route))}))
		.filter(({strata}) => [...strata.values()].some(({runs}) => runs > 0));
}

/** Tests whether a route is worse on the new version, at enough upstreams or, where each has few runs, on all but the worst one together. */
function judgeRoute({measure, route, newer, baseline, testErrorRate, isOnlyUpstream}: RouteTest): Finding | undefined {
	if (newer.length === 0) {
		return undefined;
	}

	const upstreams = newer.map(tally => ({tally, runs: countAll(tally).runs, log: computeRatio([tally], baseline, route)})).toSorted((left, right) => right.log - left.log);
	const others = isOnlyUpstream ? upstreams : upstreams.slice(1);
	const log = computeRatio(others.map(({tally}) => tally), baseline, route);
	const judged = upstreams.filter(({runs}) => runs >= minUpstreamRuns);
	const minFaulty = Math.max(minFaultyUpstreams, Math.ceil(judged.length * minFaultyShare));
	const bound = -Math.log(computeSingleErrorRate(testErrorRate, Math.max(judged.length, minFaulty), minFaulty));
	const faulty = judged.filter(upstream => upstream.log >= bound);
	const medianRuns = upstreams.map(({runs}) => runs).toSorted((left, right) => left - right)[Math.floor(upstreams.length / 2)]!;
	const isPooled = upstreams.length > 1 && medianRuns < minSeparateRuns;
	const isBad = faulty.length >= minFaulty || (isPooled && log >= -Math.log(testErrorRate));
	return {isBad, log, reason: `${measure}, ${route ?? 'all routes'}: ${describeUpstreams(newer)}; ${faulty.length} of ${judged.length} upstreams worse, ratio ${formatRatio(log)}`};
}

/** Finds whether there are so many bad responses that their share alone decides. */
function countBadResponses(measure: Measure, newer: readonly UpstreamTally[], baseline: Baseline): Finding | undefined {
	const upstreams = newer.map(tally => ({...countAll(tally), expected: computeExpected(tally, baseline), log: computeRatio([tally], baseline, undefined)})).filter(({runs}) => runs > 0);
	const isOver = (list: typeof upstreams, minBad: number) => {
		const bad = list.reduce((sum, upstream) => sum + upstream.bad, 0);
		const expected = list.reduce((sum, upstream) => sum + upstream.expected, 0);
		return bad >= minBad && bad > badShareFactor * expected;
	};

	const faulty = upstreams.filter(upstream => upstream.log >= minUpstreamLog && isOver([upstream], minUpstreamBad));
	// More than half: where a bad upstream stands beside one on a slow VM, half of them may have many bad responses.
	const minFaulty = Math.floor(upstreams.length / 2) + 1;
	return isOver(upstreams, maxBadResponses) && faulty.length >= minFaulty
		? {isBad: true, log: Number.NEGATIVE_INFINITY, reason: `${measure}: ${describeUpstreams(newer)}, over ${badShareFactor} times the share of the older version`}
		: undefined;
}

function computeExpected({strata}: UpstreamTally, baseline: Baseline): number {
	let expected = 0;
	for (const [stratum, {runs}] of strata) {
		expected += runs * baseline.estimateShare(stratum) * baseline.level;
	}

	return expected;
}

function computeRatio(tallies: readonly UpstreamTally[], baseline: Baseline, route: string | undefined): number {
	const ratio = new LikelihoodRatio();
	for (const {strata} of tallies) {
		for (const [stratum, {runs, bad}] of strata) {
			ratio.add(runs, bad, baseline.estimateLimit(stratum, route));
		}
	}

	return ratio.log;
}

function describeUpstreams(tallies: readonly UpstreamTally[]): string {
	const samples = tallies.map(tally => countAll(tally));
	const sum = (field: 'runs' | 'bad') => samples.reduce((total, sample) => total + sample[field], 0);
	return `${sum('bad')} of ${sum('runs')} runs at ${tallies.length} upstreams`;
}

function formatRatio(log: number): string {
	return Math.exp(log).toPrecision(2);
}
