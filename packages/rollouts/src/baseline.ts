/** How many runs of the older version are bad, as the level that the new one is compared with. */
import {
	getRoute, getSlice, type Sample, type UpstreamTally,
} from './tallies.js';

/** Number of runs that the share of a wider sample counts as in a narrower one: in few runs, the share of bad ones is known badly. */
const priorRuns = 25;

/** Share of bad runs that is assumed without any run. */
const unknownShare = 0.05;

/** Standard errors that are added to an estimated share for its upper limit. */
const limitErrors = 1.5;

/** Bounds of the upper limit. */
const minLimit = 0.005;
const maxLimit = 0.6;

/** Share of the older upstreams that the level is taken above: VMs of half speed have more slow runs, and may be a quarter of all. */
const levelQuantile = 0.9;

/** From this share of bad runs on, and this multiple of that of the others, an older upstream counts as broken, and is left out. */
const brokenShare = 0.3;
const brokenFactor = 5;

/** Minimum number of older upstreams of which one may be left out. */
const minForBroken = 3;

/** Shares of bad runs by stratum. */
export class Baseline {
	readonly #all: Sample = {runs: 0, bad: 0};
	readonly #routes = new Map<string, Sample>();
	readonly #slices = new Map<string, Sample>();
	readonly #strata = new Map<string, Sample>();
	readonly #level: number;

	constructor(older: readonly UpstreamTally[]) {
		const upstreams = removeBroken(older);
		for (const {strata} of upstreams) {
			for (const [stratum, sample] of strata) {
				addSample(this.#all, sample);
				addSample(getSample(this.#routes, getRoute(stratum)), sample);
				addSample(getSample(this.#slices, getSlice(stratum)), sample);
				addSample(getSample(this.#strata, stratum), sample);
			}
		}

		this.#level = this.#computeLevel(upstreams);
	}

	/** Ratio of bad runs of the worse upstreams to the mean; at least 1. */
	get level(): number {
		return this.#level;
	}

	/** Estimates the share of bad runs in a stratum. */
	estimateShare(stratum: string): number {
		const all = blendShare(this.#all, unknownShare);
		const route = blendShare(this.#routes.get(getRoute(stratum)), all);
		const slice = blendShare(this.#slices.get(getSlice(stratum)), all);
		return blendShare(this.#strata.get(stratum), Math.max(route, slice));
	}

	/**
	 * Estimates an upper limit of the share of bad runs in a stratum at an upstream on one of the slower VMs.
	 *
	 * @param route Route that is tested; undefined for all, over which the errors of the strata cancel out.
	 */
	estimateLimit(stratum: string, route: string | undefined): number {
		const share = this.estimateShare(stratum);
		const runs = priorRuns + ((route === undefined ? this.#all : this.#routes.get(route))?.runs ?? 0);
		const limit = this.#level * (share + (limitErrors * Math.sqrt(share * (1 - share) / runs)) + (1 / runs));
		return Math.max(minLimit, Math.min(maxLimit, limit));
	}

	#computeLevel(upstreams: readonly UpstreamTally[]): number {
		const ratios = upstreams.map(({strata}) => {
			let expected = 0;
			let bad = 0;
			for (const [stratum, sample] of strata) {
				expected += sample.runs * this.estimateShare(stratum);
				bad += sample.bad;
			}

			return (bad + 1) / (expected + 1);
		}).toSorted((left, right) => left - right);
		return Math.max(1, ratios[Math.ceil(ratios.length * levelQuantile) - 1] ?? 1);
	}
}

/** Computes the share of bad runs of all strata. */
export function countAll({strata}: UpstreamTally): Sample {
	const all = {runs: 0, bad: 0};
	for (const sample of strata.values()) {
		addSample(all, sample);
	}

	return all;
}

/** Leaves out the worst older upstream if it is broken: it would hide a bad version that is compared with it. */
function removeBroken(older: readonly UpstreamTally[]): readonly UpstreamTally[] {
	if (older.length < minForBroken) {
		return older;
	}

	const ranked = older.map(tally => ({tally, sample: countAll(tally)})).toSorted((left, right) => getShare(right.sample) - getShare(left.sample));
	const [worst, ...others] = ranked;
	const rest = {runs: 0, bad: 0};
	for (const {sample} of others) {
		addSample(rest, sample);
	}

	const share = getShare(worst!.sample);
	return share >= brokenShare && share >= brokenFactor * getShare(rest) ? others.map(({tally}) => tally) : older;
}

function blendShare(sample: Sample | undefined, prior: number): number {
	const {runs, bad} = sample ?? {runs: 0, bad: 0};
	return (bad + (priorRuns * prior)) / (runs + priorRuns);
}

function getShare({runs, bad}: Sample): number {
	return runs === 0 ? 0 : bad / runs;
}

function addSample(sum: Sample, {runs, bad}: Sample): void {
	sum.runs += runs;
	sum.bad += bad;
}

function getSample(samples: Map<string, Sample>, key: string): Sample {
	let sample = samples.get(key);
	if (sample === undefined) {
		sample = {runs: 0, bad: 0};
		samples.set(key, sample);
	}

	return sample;
}
