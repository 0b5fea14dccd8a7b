/** Tells which routes have more calls than their upstreams have slots for. */
import {type Clock} from '@ebonylead/base/base.js';
import {type Route} from '@ebonylead/rules/route-table.js';
import {capacityLimits, outcomes, type Refusal} from '@ebonylead/upstreams/upstreams.js';

/** Time in milliseconds for which a route counts as contended after a new call was refused by all upstreams that were asked: as long as a sidecar refuses late calls. */
const contentionMs = 500;

/** Maximum number of routes; beyond it the route that was refused first is dropped. */
const maxRoutes = 512;

/**
 * Keeps the last refusals of new calls for lack of slots. While a route has any, a call whose objective
 * has passed gets no slot at any sidecar, and asking them would only cost time.
 */
export class RouteContention {
	readonly #clock: Clock;
	readonly #refusals = new Map<string, {readonly at: number; readonly refusal: Refusal}>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/**
	 * Records how a call was refused.
	 *
	 * @param age Time in milliseconds from the caller's first attempt at the call to its arrival.
	 */
	record(route: Route, age: number, refusal: Refusal): void {
		if (age > 0 || !refusal.isContended || refusal.lacking !== capacityLimits.slots) {
			return;
		}

		this.#refusals.delete(route.key);
		this.#refusals.set(route.key, {at: this.#clock.now(), refusal});
		if (this.#refusals.size > maxRoutes) {
			this.#refusals.delete(this.#refusals.keys().next().value!);
		}
	}

	/**
	 * Finds the refusal of a call that would be late anyway.
	 *
	 * @param elapsed Time in milliseconds since the caller's first attempt at the call.
	 * @returns Undefined if the call may be sent.
	 */
	findRefusal(route: Route, elapsed: number): Refusal | undefined {
		const last = this.#refusals.get(route.key);
		const isLate = elapsed >= (route.rule.objective ?? Number.POSITIVE_INFINITY);
		if (!isLate || last === undefined || this.#clock.now() - last.at >= contentionMs) {
			return undefined;
		}

		return {
			...last.refusal, outcome: outcomes.notRun, hasReachedUpstream: false, lacking: undefined, isContended: undefined, reason: `calls in time lack slots: ${last.refusal.reason}`,
		};
	}
}
