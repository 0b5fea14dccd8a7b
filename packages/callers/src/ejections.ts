/** Outlier ejection: an upstream that fails is no candidate until its sidecar responds to a probe. */
import {type Clock, type Random} from '@ebonylead/base/base.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {type Membership} from '@ebonylead/peers/membership.js';
import {type EjectionProbe} from './ejection-probe.js';
import {type TargetState, type TargetStates} from './target-states.js';

/** Number of consecutive failures after which an upstream is ejected. */
const maxConsecutiveFailures = 3;

/** Duration of the first ejection in milliseconds, after which the sidecar is probed. It doubles with each ejection until an attempt succeeds, up to the cap; jitter takes off up to half. */
const ejectionBaseMs = 1000;
const ejectionCapMs = 8000;

/** Ejects upstreams, and probes them until they respond. */
export class Ejections {
	readonly #states: TargetStates;
	readonly #membership: Membership;
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #probe: EjectionProbe | undefined;
	readonly #controller = new AbortController();

	/** @param probe By which ejections end; undefined if they end by time alone. */
	constructor(states: TargetStates, membership: Membership, clock: Clock, random: Random, probe: EjectionProbe | undefined) {
		this.#states = states;
		this.#membership = membership;
		this.#clock = clock;
		this.#random = random;
		this.#probe = probe;
	}

	/** Records whether an attempt failed; ejects the upstream after several failures in a row. */
	recordEnd(member: Member, isFailure: boolean): void {
		const state = this.#states.get(member);
		if (!isFailure) {
			state.consecutiveFailures = 0;
			state.ejections = 0;
			state.isAwaitingProbe = false;
			return;
		}

		state.consecutiveFailures++;
		if (state.consecutiveFailures >= maxConsecutiveFailures) {
			this.eject(member, state);
		}
	}

	/** Stops probing. */
	close(): void {
		this.#controller.abort();
	}

	/** Whether an upstream is ejected. */
	isEjected({isAwaitingProbe, ejectedUntil}: TargetState): boolean {
		return isAwaitingProbe || ejectedUntil > this.#clock.now();
	}

	/** Ejects an upstream, unless it is already: the failures of other calls that were in flight show nothing new. */
	eject(member: Member, state: TargetState): void {
		state.consecutiveFailures = 0;
		if (this.isEjected(state)) {
			return;
		}

		const duration = Math.min(ejectionCapMs, ejectionBaseMs * (2 ** state.ejections)) * (0.5 + (this.#random.next() / 2));
		state.ejections++;
		state.ejectedUntil = this.#clock.now() + duration;
		if (this.#probe) {
			state.isAwaitingProbe = true;
			void this.#probeAfter(this.#probe, member, state, duration);
		}
	}

	/** Ends the ejection of an upstream when its sidecar responds: a call that tried whether it is back would be lost if it is not. */
	async #probeAfter(probe: EjectionProbe, member: Member, state: TargetState, pause: number): Promise<void> {
		const {signal} = this.#controller;
		const {ejectedUntil} = state;
		const isCurrent = () => state.isAwaitingProbe && state.ejectedUntil === ejectedUntil;
		await this.#clock.sleep(pause, signal);
		if (!isCurrent()) {
			return;
		}

		const isKnown = !signal.aborted && this.#membership.findMember(member.id)?.incarnation === member.incarnation;
		const isResponding = !isKnown || await probe.isResponding(member);
		if (!isCurrent()) {
			return;
		}

		state.isAwaitingProbe = false;
		if (!isResponding) {
			this.eject(member, state);
		}
	}
}
