/** Learns at the sidecar how many calls the local upstream runs at the same time without loss, and how long its routes take. */
import {type Clock} from '@ebonylead/base/base.js';
import {runOutcomes, type RunObserver, type UpstreamRun} from '@ebonylead/upstreams/run-observer.js';
import {encodeCapacity} from './capacity.js';
import {LevelTimes} from './level-times.js';

/** The upstream as it was announced. */
export type AnnouncedCapacity = {
	readonly slots: number;

	/** Key of the process; a change means another process. */
	readonly incarnation: string;
};

/** Dependencies of `CapacityLearner`. */
export type CapacityLearnerDependencies = {
	readonly clock: Clock;
	readonly getAnnounced: () => AnnouncedCapacity;

	/** Called with each new limit, what it was learnt from. */
	readonly onLimit: (limit: number, change: LimitChange) => void;
};

/** A change of the limit, for the log. */
export type LimitChange = {
	readonly before: number;
	readonly announced: number;
	readonly reason: 'restarted' | 'learnt' | 'probed' | 'probe-ended';

	/** Service time relative to the usual one at present. */
	readonly present: number;

	/** Number of runs since the process of the upstream was first seen. */
	readonly runs: number;
};

/** Share of the best throughput that the limit must reach. */
const minThroughputShare = 0.95;

/** The limit is at least this share of the announced slots. */
const minLimitShare = 1 / 3;

/** Minimum interval in milliseconds before the limit falls or rises by one level; a new level needs runs of its own before the next. */
const fallIntervalMs = 500;
const riseIntervalMs = 1200;

/** Weight of a run in the mean of its route, once it has more runs than the inverse. */
const routeWeight = 0.02;

/** Maximum number of routes with a mean; the least recently used one is removed. */
const maxRoutes = 512;

/** Relative service time that a failed run counts as at least: an upstream beyond its capacity may fail at once. */
const minFailureTime = 4;

/** While calls always wait, all runs start at the limit. Then a lower level is tried for a short time, for comparison. */
const probeIntervalMs = 10_000;
const probeDurationMs = 300;
const probeShare = 0.75;

/** Share of the recent runs at the limit from which on calls count as always waiting, and the weight of one run in it. */
const minBusyShare = 0.9;
const busyWeight = 0.05;

/** Weight of a run in the present service time relative to the means of the routes: about a second of calls, so that a slowdown is reported soon and a single slow run hardly. */
const presentWeight = 0.05;

/** Maximum relative service time of one run in that mean. */
const maxPresentSample = 10;

type RouteMean = {mean: number; runs: number};

/** Observes the runs of the local upstream; needs no timer. */
export class CapacityLearner implements RunObserver {
	readonly #dependencies: CapacityLearnerDependencies;
	#levels: LevelTimes;
	#routes = new Map<string, RouteMean>();
	#announced: AnnouncedCapacity = {slots: 0, incarnation: ''};

	/** Learnt limit without a probe. */
	#learntLimit = 0;
	#steppedAt = Number.NEGATIVE_INFINITY;
	#probedAt: number;
	#isProbing = false;
	#busyShare = 0;
	#runs = 0;
	#present = 1;

	constructor(dependencies: CapacityLearnerDependencies) {
		this.#dependencies = dependencies;
		this.#levels = new LevelTimes(dependencies.clock);
		this.#probedAt = dependencies.clock.now();
	}

	/** Learnt limit; the announced number of slots before the first run. */
	get limit(): number {
		this.#checkAnnounced();
		return this.#isProbing ? Math.max(1, Math.ceil(this.#learntLimit * probeShare)) : this.#learntLimit;
	}

	/** Service time of all routes relative to the usual one, at present. */
	get present(): number {
		return this.#present;
	}

	/** Formats the report for a call of a route, as a header value; undefined if no upstream was announced. */
	formatReport(route: string): string | undefined {
		this.#checkAnnounced();
		const mean = (this.#routes.get(route)?.mean ?? 0) * this.#present;
		return this.#learntLimit > 0 ? encodeCapacity({limit: this.#learntLimit, mean}) : undefined;
	}

	recordRun({route, outcome, duration, concurrency}: UpstreamRun): void {
		this.#checkAnnounced();
		this.#runs++;
		const isFailure = outcome === runOutcomes.failure;
		const known = this.#getRoute(route, duration);
		const relativeTime = Math.max(duration, Number.EPSILON) / Math.max(known.mean, Number.EPSILON);
		this.#levels.record(concurrency, isFailure ? Math.max(minFailureTime, relativeTime) : relativeTime);
		if (!isFailure || relativeTime > 1) {
			known.runs++;
			this.#present += (Math.min(maxPresentSample, relativeTime) - this.#present) * presentWeight;
			// It follows lasting changes; what all routes share at present is in the factor above.
			known.mean += (duration - known.mean) * Math.max(routeWeight, 1 / known.runs);
		}

		this.#busyShare += ((concurrency >= this.limit ? 1 : 0) - this.#busyShare) * busyWeight;
		this.#step();
	}

	#getRoute(route: string, duration: number): RouteMean {
		const known = this.#routes.get(route) ?? {mean: duration, runs: 0};
		this.#routes.delete(route);
		this.#routes.set(route, known);
		if (this.#routes.size > maxRoutes) {
			this.#routes.delete(this.#routes.keys().next().value!);
		}

		return known;
	}

	/** Begins anew with the announced slots when another process, or the same one with other slots, was announced. */
	#checkAnnounced(): void {
		const announced = this.#dependencies.getAnnounced();
		const {slots, incarnation} = this.#announced;
		if (announced.slots === slots && announced.incarnation === incarnation) {
			return;
		}

		const before = this.#learntLimit;
		this.#announced = {slots: announced.slots, incarnation: announced.incarnation};
		this.#levels = new LevelTimes(this.#dependencies.clock);
		this.#routes = new Map();
		this.#learntLimit = announced.slots;
		this.#isProbing = false;
		this.#busyShare = 0;
		this.#runs = 0;
		this.#present = 1;
		this.#report(before, 'restarted');
	}

	/** Moves the limit by one level, and begins or ends a probe. */
	#step(): void {
		const now = this.#dependencies.clock.now();
		const before = this.limit;
		if (this.#isProbing && now - this.#probedAt >= probeDurationMs) {
			this.#isProbing = false;
			this.#report(before, 'probe-ended');
		} else if (!this.#isProbing && this.#busyShare > minBusyShare && now - this.#probedAt >= probeIntervalMs) {
			this.#isProbing = true;
			this.#probedAt = now;
			this.#report(before, 'probed');
		} else if (!this.#isProbing && now - this.#steppedAt >= fallIntervalMs) {
			this.#stepTowards(this.#findTarget(), now);
			this.#report(before, 'learnt');
		}
	}

	#stepTowards(target: number, now: number): void {
		if (target < this.#learntLimit || (target > this.#learntLimit && now - this.#steppedAt >= riseIntervalMs)) {
			this.#learntLimit += Math.sign(target - this.#learntLimit);
			this.#steppedAt = now;
		}
	}

	/**
	 * Finds the smallest level up to the limit whose throughput is near the best; one above the limit if that is the limit itself. A level
	 * without samples counts as one without a loss. Only a loss that is no chance lowers the limit.
	 */
	#findTarget(): number {
		const {slots} = this.#announced;
		const throughputs: number[] = [];
		let time = 1;
		for (let level = 1; level <= this.#learntLimit; level++) {
			time = this.#levels.find(level) ?? time;
			throughputs.push(level / time);
		}

		const best = Math.max(...throughputs);
		const level = throughputs.findIndex(throughput => throughput >= best * minThroughputShare) + 1;
		const target = Math.max(Math.ceil(slots * minLimitShare), level);
		if (target >= this.#learntLimit) {
			return Math.min(slots, this.#learntLimit + 1);
		}

		return this.#levels.isSlower(this.#learntLimit, target) ? target : this.#learntLimit;
	}

	#report(before: number, reason: LimitChange['reason']): void {
		const limit = this.#isProbing ? Math.max(1, Math.ceil(this.#learntLimit * probeShare)) : this.#learntLimit;
		if (limit !== before) {
			this.#dependencies.onLimit(limit, {
				before, announced: this.#announced.slots, reason, present: this.#present, runs: this.#runs,
			});
		}
	}
}
