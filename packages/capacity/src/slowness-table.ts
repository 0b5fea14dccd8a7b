/** Compares the service times of upstreams at the entry node, from the reports of their sidecars. */
import {type Clock} from '@ebonylead/base/base.js';

/** What is known of the speed of one upstream. */
export type Slowness = {
	/** Service time relative to the mean of the upstreams of the service; 1 if nothing is known. */
	readonly factor: number;

	/** Milliseconds since the last report; infinite if there is none. */
	readonly age: number;
};

/** Half-life in milliseconds with which a factor approaches 1, so that a slow upstream is tried again. */
const factorHalfLifeMs = 20_000;

/** Weight of a report in the factor of its upstream. Sidecars report means of many runs. */
const reportWeight = 0.5;

/** Number of upstreams with a report of the route from which on a report has its whole weight: the mean over fewer ones is mostly their own. */
const minComparedUpstreams = 4;

/** Bounds of the logarithm of a factor. */
const maxLogFactor = Math.log(20);

/** Time in milliseconds after which a report no longer counts in the mean of its route. */
const reportTtlMs = 120_000;

/** Number of reports between two removals of those that are too old. */
const reportsPerSweep = 2000;

type RouteTimes = {
	/** Logarithm of the reported mean by upstream. */
	readonly logMeans: Map<string, {value: number; reportedAt: number}>;
	sum: number;
};

/** Keeps the last reported service time for each route and upstream. */
export class SlownessTable {
	readonly #clock: Clock;
	readonly #routes = new Map<string, RouteTimes>();
	readonly #upstreams = new Map<string, {logFactor: number; reportedAt: number}>();
	#reportCount = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records that an upstream reported a mean service time of a route in milliseconds. */
	record(upstream: string, route: string, mean: number): void {
		if (!(mean > 0)) {
			return;
		}

		this.#removeOld();
		const now = this.#clock.now();
		const value = Math.log(mean);
		const times = this.#getTimes(route);
		times.sum += value - (times.logMeans.get(upstream)?.value ?? 0);
		times.logMeans.set(upstream, {value, reportedAt: now});
		const {size} = times.logMeans;
		const difference = Math.max(-maxLogFactor, Math.min(maxLogFactor, value - (times.sum / size)));
		const before = this.#computeLogFactor(upstream);
		const weight = reportWeight * Math.min(1, (size - 1) / (minComparedUpstreams - 1));
		this.#upstreams.set(upstream, {logFactor: before + ((difference - before) * weight), reportedAt: now});
	}

	/** Returns how slow an upstream is. */
	get(upstream: string): Slowness {
		const known = this.#upstreams.get(upstream);
		if (known === undefined) {
			return {factor: 1, age: Number.POSITIVE_INFINITY};
		}

		const age = this.#clock.now() - known.reportedAt;
		return {factor: Math.exp(known.logFactor * (0.5 ** (age / factorHalfLifeMs))), age};
	}

	/** Estimates the service time of a route at an upstream of mean speed in milliseconds; undefined if no upstream reported one. */
	findServiceTime(route: string): number | undefined {
		const times = this.#routes.get(route);
		return times === undefined || times.logMeans.size === 0 ? undefined : Math.exp(times.sum / times.logMeans.size);
	}

	/** Forgets an upstream, as another process has taken its place. */
	remove(upstream: string): void {
		this.#upstreams.delete(upstream);
		for (const times of this.#routes.values()) {
			removeReport(times, upstream);
		}
	}

	#computeLogFactor(upstream: string): number {
		const known = this.#upstreams.get(upstream);
		return known === undefined ? 0 : known.logFactor * (0.5 ** ((this.#clock.now() - known.reportedAt) / factorHalfLifeMs));
	}

	#getTimes(route: string): RouteTimes {
		let times = this.#routes.get(route);
		if (times === undefined) {
			times = {logMeans: new Map(), sum: 0};
			this.#routes.set(route, times);
		}

		return times;
	}

	#removeOld(): void {
		this.#reportCount++;
		if (this.#reportCount % reportsPerSweep !== 0) {
			return;
		}

		const oldest = this.#clock.now() - reportTtlMs;
		for (const [route, times] of this.#routes) {
			for (const [upstream, {reportedAt}] of times.logMeans) {
				if (reportedAt < oldest) {
					removeReport(times, upstream);
				}
			}

			if (times.logMeans.size === 0) {
				this.#routes.delete(route);
			}
		}

		for (const [upstream, {reportedAt}] of this.#upstreams) {
			if (reportedAt < oldest) {
				this.#upstreams.delete(upstream);
			}
		}
	}
}

function removeReport(times: RouteTimes, upstream: string): void {
	times.sum -= times.logMeans.get(upstream)?.value ?? 0;
	times.logMeans.delete(upstream);
}
