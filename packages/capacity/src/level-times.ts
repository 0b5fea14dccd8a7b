/** Service times by level of concurrency, apart from changes of speed that all levels share. */
import {type Clock} from '@ebonylead/base/base.js';

/** Half-life in milliseconds of the samples of a level: it bounds how long a past slowdown keeps the limit low. */
const sampleHalfLifeMs = 4000;

/** Weight of a sample in the shared factor: a few runs, as a spell of slowness of the upstream lasts half a second. */
const sharedWeight = 0.15;

/** Bounds of the logarithm of one sample, so that a run that hung counts no more than some slow ones. */
const maxLogSample = Math.log(6);

/** Number of samples that a level needs, with a quarter of those of its neighbours. */
const minSamples = 5;

/** Standard deviation of the logarithm of one sample: the work of calls of one route differs by half, and upstreams have slow spells. */
const sampleDeviation = 0.5;

/** Number of standard errors that a level must differ, so that chance does not decide. */
const minStandardErrors = 2;

/** Weight of a sample at the levels next to its own. */
const neighbourWeight = 0.25;

type LevelMean = {
	logTime: number;
	weight: number;
	updatedAt: number;
};

/** Keeps a decaying mean of the relative service time for each level. */
export class LevelTimes {
	readonly #clock: Clock;
	readonly #levels: Array<LevelMean | undefined> = [];
	#logShared = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records a run by the number of calls that were running when it started, and its service time relative to the mean of its route. */
	record(level: number, relativeTime: number): void {
		const sample = Math.max(-maxLogSample, Math.min(maxLogSample, Math.log(relativeTime)));
		// A change of the speed raises the times of all levels; only the rest is due to the level.
		const rest = sample - this.#logShared;
		this.#logShared += (rest - this.#getLogTime(level)) * sharedWeight;
		for (const [neighbour, weight] of [[level - 1, neighbourWeight], [level, 1], [level + 1, neighbourWeight]] as const) {
			if (neighbour > 0) {
				this.#add(neighbour, rest, weight);
			}
		}
	}

	/** Finds the relative service time at a level; undefined without enough samples. */
	find(level: number): number | undefined {
		const mean = this.#levels[level];
		return mean !== undefined && this.#computeWeight(mean) >= minSamples ? Math.exp(mean.logTime) : undefined;
	}

	/** Whether runs at the higher level take longer than at the lower one, by more than chance. */
	isSlower(higher: number, lower: number): boolean {
		const [high, low] = [this.#levels[higher], this.#levels[lower]];
		if (high === undefined || low === undefined) {
			return false;
		}

		const error = sampleDeviation * Math.sqrt((1 / this.#computeWeight(high)) + (1 / this.#computeWeight(low)));
		return high.logTime - low.logTime > error * minStandardErrors;
	}

	#getLogTime(level: number): number {
		return this.#levels[level]?.logTime ?? 0;
	}

	#add(level: number, sample: number, weight: number): void {
		const now = this.#clock.now();
		const mean = this.#levels[level] ?? {logTime: sample, weight: 0, updatedAt: now};
		mean.weight = this.#computeWeight(mean) + weight;
		mean.updatedAt = now;
		mean.logTime += (sample - mean.logTime) * weight / mean.weight;
		this.#levels[level] = mean;
	}

	#computeWeight({weight, updatedAt}: LevelMean): number {
		return weight * (0.5 ** ((this.#clock.now() - updatedAt) / sampleHalfLifeMs));
	}
}
