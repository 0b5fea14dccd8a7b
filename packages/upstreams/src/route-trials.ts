/** Decides which calls run although the mean duration of their route says that they won't end in time. */
import {type Clock} from '@ebonylead/base/base.js';

/** Time in milliseconds after the last call of a route from which on its mean counts as stale. */
const maxAgeMs = 1000;

/** Maximum share of the slots that trials of all routes use at once; at least one slot. */
const maxSlotShare = 0.125;

/** Maximum number of routes that are remembered; the one that was used least recently is removed. */
const maxRoutes = 512;

type RouteState = {
	/** Whether a trial of the route is queued or runs. */
	isPending: boolean;

	/** Monotonic time in milliseconds from which on a trial may start. */
	nextAt: number;

	/** Monotonic time in milliseconds at which a call of the route started or ended last. */
	usedAt: number;
};

/**
 * Admits trial calls.
 *
 * A mean duration changes only by calls that run. If it is longer than the time
 * that calls have, it refuses all that could correct it: after a silence of the
 * upstream, or for a route that was added, changed, or is served by a faster
 * version. So one such call runs all the same where no call of its route has run
 * lately. While an upstream is sound and gets a call a second, a route is refused
 * wrongly for no longer than `maxAgeMs` and the duration of some calls.
 */
export class RouteTrials {
	readonly #clock: Clock;
	readonly #routes = new Map<string, RouteState>();
	#pendingCount = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Admits a trial of a route and returns true, or returns false if none may start now. Each admitted one needs a call of `recordEnd`. */
	admit(route: string, slots: number): boolean {
		const state = this.#routes.get(route);
		const maxPending = Math.max(1, Math.floor(slots * maxSlotShare));
		if (this.#pendingCount >= maxPending || (state !== undefined && (state.isPending || this.#clock.now() < state.nextAt))) {
			return false;
		}

		this.#pendingCount++;
		this.#set(route, true, 0);
		return true;
	}

	/** Records that a call that is no trial has started or ended: the mean of its route is not stale. */
	recordCall(route: string): void {
		this.#set(route, this.#routes.get(route)?.isPending ?? false, this.#clock.now() + maxAgeMs);
	}

	/**
	 * Records the end of a trial.
	 *
	 * @param isConclusive Whether the next one has to wait: not if this one got no slot, or was faster than the mean, which may be still too long then.
	 */
	recordEnd(route: string, isConclusive: boolean): void {
		this.#pendingCount--;
		this.#set(route, false, isConclusive ? this.#clock.now() + maxAgeMs : 0);
	}

	/** Returns the milliseconds since a call of a route started or ended; undefined if none is remembered. */
	findAge(route: string): number | undefined {
		const state = this.#routes.get(route);
		return state && this.#clock.now() - state.usedAt;
	}

	#set(route: string, isPending: boolean, nextAt: number): void {
		this.#routes.delete(route);
		this.#routes.set(route, {isPending, nextAt, usedAt: this.#clock.now()});
		if (this.#routes.size > maxRoutes) {
			this.#routes.delete(this.#routes.keys().next().value!);
		}
	}
}
