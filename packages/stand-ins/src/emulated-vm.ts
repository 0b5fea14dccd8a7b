/** One VM of the load emulator: the choice of targets, the retry budget and the admission of its node, and its upstream. */
import {type Random} from '@ebonylead/base/base.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {type RetryBudget} from '@ebonylead/callers/retry-budget.js';
import {type TargetChooser} from '@ebonylead/callers/target-chooser.js';
import {type CapacityLearner} from '@ebonylead/capacity/capacity-learner.js';
import {type AdmissionControl} from '@ebonylead/upstreams/admission.js';
import {type EmulatedLoad, type EmulatedService, type LimitUsage} from './emulated-load.js';
import {EmulatedSpeed} from './emulated-speed.js';

/** What the node on a VM consists of. */
export type EmulatedNode = {
	readonly chooser: TargetChooser;
	readonly retryBudget: RetryBudget;
	readonly admission: AdmissionControl;
	readonly learner: CapacityLearner;
	readonly dataCentre: string;
};

/** Length of the windows in which the requests of an upstream with a limit are counted. */
const limitWindowMs = 4000;
const millisecondsPerSecond = 1000;

/** Distance of the seeds of the refusals and the speed of an upstream. */
const refusalSeeds = 1_000_000;

/** A VM and its upstream. */
export class EmulatedVm {
	readonly node: EmulatedNode;
	readonly speed: EmulatedSpeed;

	/** Limit of the upstream in requests per second. */
	readonly limit: number | undefined;

	/** Times at which runs started. */
	readonly arrivals: number[] = [];

	/** Number of requests that the upstream has refused. */
	refusalCount = 0;
	#limitNamedAt = Number.POSITIVE_INFINITY;
	readonly #service: EmulatedService;
	readonly #index: number;
	readonly #random: Random;

	constructor(node: EmulatedNode, service: EmulatedService, index: number, seed: number) {
		this.node = node;
		this.speed = new EmulatedSpeed(service, index, seed);
		this.limit = service.limits?.[index] ?? undefined;
		this.#service = service;
		this.#index = index;
		this.#random = new SeededRandom(seed + refusalSeeds);
	}

	/** Returns whether the upstream refuses a request that arrives now, and counts it then. */
	isRefusing(now: number): boolean {
		const {refusals = []} = this.#service;
		const isRefused = refusals.some(({upstreams, from, to, share}) => now >= from && now < to && upstreams.includes(this.#index) && this.#random.next() < share);
		this.refusalCount += Number(isRefused);
		return isRefused;
	}

	/** Tells the node the limit of its upstream, as the response to a call does. */
	nameLimit(now: number, {limitsFrom = 0, areLimitsIgnored = false}: EmulatedLoad): void {
		if (this.limit === undefined || now < limitsFrom) {
			return;
		}

		const {admission} = this.node;
		this.#limitNamedAt = Math.min(this.#limitNamedAt, now);
		if (!areLimitsIgnored && admission.rateLimit === undefined) {
			admission.setRateLimit(this.limit);
		}
	}

	/** Computes what the upstream got of the requests that its limit allows; undefined if it has none. */
	computeLimitUsage(upstream: string): LimitUsage | undefined {
		if (this.limit === undefined) {
			return undefined;
		}

		const counted = this.arrivals.filter(arrival => arrival >= this.#limitNamedAt);
		const worst = Math.max(0, ...counted.map(start => counted.filter(arrival => arrival >= start && arrival < start + limitWindowMs).length));
		return {
			upstream, allowed: this.limit * limitWindowMs / millisecondsPerSecond, worst, runs: this.arrivals.length,
		};
	}
}
