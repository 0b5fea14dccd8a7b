/** Reports the runs of the local upstream during a roll-out, and carries the decisions out there. */
import {type Clock} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {type Membership} from '@ebonylead/peers/membership.js';
import {type LocalUpstream} from '@ebonylead/upstreams/local-upstream.js';
import {rankCoordinators} from './coordinator-ranking.js';
import {computeSlice, type RunCounts} from './run-counts.js';
import {decodeReply, type RolloutReply, type RolloutReport} from './rollout-messages.js';
import {type Rollout, type RolloutRegistry} from './rollout-registry.js';
import {isFinalState, rolloutStates, type RolloutState} from './rollouts.js';
import {type WarmUp} from './warm-up.js';

/** Dependencies of `RolloutReporter`. */
export type RolloutReporterDependencies = {
	/** Identity of this node, and of its process. */
	readonly id: string;
	readonly process: number;
	readonly registry: RolloutRegistry;
	readonly membership: Membership;
	readonly localUpstream: Pick<LocalUpstream, 'status' | 'version' | 'incarnation' | 'admission' | 'setWithdrawnVersion'>;
	readonly counts: RunCounts;
	readonly warmUp: WarmUp;
	readonly clock: Clock;
	readonly log: Logger;

	/** Sends a report to a node, and resolves to the text of its reply. */
	readonly send: (member: Member, text: string) => Promise<string>;
};

/** Intervals in milliseconds between two reports: of new upstreams, whose faults must be found soon; of older ones; and of those that are being closed. */
const newerIntervalMs = 500;
const olderIntervalMs = 1000;
const closingIntervalMs = 250;

/** Time in milliseconds between the decision for the new version and the closing of the older upstreams, in which the entry nodes learn of it. */
const closeDelayMs = 500;

/** Time in milliseconds without a reply after which a new upstream is withdrawn until there is one: a roll-back may have been decided. Two coordinators may have failed to respond within it. */
const isolationTimeoutMs = 2000;

/** Time in milliseconds for which a coordinator that did not respond is left out. */
const suspensionMs = 3000;

/** Maximum number of members that a report is offered to. */
const maxAttempts = 4;

/** Interval in milliseconds between two checks without a roll-out; changes cause one at once. */
const idleCheckMs = 60_000;

/** What this node knows of the roll-out of its own service. */
type ReportedRollout = {
	readonly orderRevision: number;

	/** Version of the upstream whose runs are counted. */
	readonly version: string;

	/** State by the replies, which may be ahead of the recorded one. */
	repliedState: RolloutState | undefined;
	repliedAt: number;

	/** Monotonic time in milliseconds at which this node learned that the older upstreams are to be closed. */
	shiftingSince: number | undefined;

	/** First slice that the coordinator may not have yet. */
	firstSlice: number;
};

/** Reports while the roll-out of the local upstream's service is open; otherwise it costs nothing. */
export class RolloutReporter {
	readonly #dependencies: RolloutReporterDependencies;
	readonly #suspensions = new Map<string, number>();
	#current: ReportedRollout | undefined;
	#coordinator: string | undefined;
	#sequence = 0;

	/** Process of the upstream that this node has withdrawn. */
	#withdrawn: string | undefined;
	#wake: (() => void) | undefined;

	/** Whether a change came while a report was being sent. */
	#isWoken = false;

	constructor(dependencies: RolloutReporterDependencies) {
		this.#dependencies = dependencies;
	}

	/** Acts at once on a change of what is known. */
	wake(): void {
		this.#isWoken = true;
		this.#wake?.();
	}

	/** Reports until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		signal.addEventListener('abort', () => {
			this.wake();
		});
		while (!signal.aborted) {
			const interval = await this.update();
			await this.#wait(interval, signal);
		}
	}

	/** Sends a report if one is due, and carries out what is decided. Returns the time in milliseconds until the next one; undefined if there is nothing to do until a change. */
	async update(): Promise<number | undefined> {
		const {registry, localUpstream, counts} = this.#dependencies;
		const rollout = registry.findRollout(localUpstream.status.value.service);
		if (rollout === undefined) {
			this.#current = undefined;
			counts.stop();
			return undefined;
		}

		const current = this.#getCurrent(rollout);
		this.#applyState(rollout, current);
		if (rollout.state !== undefined && isFinalState(rollout.state)) {
			counts.stop();
			return undefined;
		}

		await this.#report(rollout, current);
		this.#applyState(registry.findRollout(rollout.order.service) ?? rollout, current);
		return this.#chooseInterval(rollout, current);
	}

	#getCurrent({order, seenAt}: Rollout): ReportedRollout {
		const {registry, counts, clock, localUpstream: {version}} = this.#dependencies;
		if (this.#current?.orderRevision !== order.revision || this.#current.version !== version) {
			const now = clock.now();
			this.#current = {
				orderRevision: order.revision, version, repliedState: undefined, repliedAt: now, shiftingSince: undefined, firstSlice: 0,
			};
			counts.start(() => clock.now() - (registry.findRollout(order.service)?.seenAt ?? seenAt));
		}

		return this.#current;
	}

	/** Withdraws the upstream, or uses it again, by the recorded state or else by that of the replies. */
	#applyState({order, state}: Rollout, current: ReportedRollout): void {
		const {localUpstream, clock} = this.#dependencies;
		const {version, incarnation} = localUpstream;
		if (incarnation === '' && version === '') {
			return;
		}

		const isOpen = state === undefined || state === rolloutStates.running;
		const acting = isOpen ? current.repliedState ?? state : state;
		const isNewer = version === order.to;
		if (acting === rolloutStates.shifting || acting === rolloutStates.completed) {
			current.shiftingSince ??= clock.now();
		}

		const mustWithdraw = isNewer ? acting === rolloutStates.rolledBack || (isOpen && this.#isIsolated(current)) : this.#mustClose(acting, current);
		this.#setWithdrawn(mustWithdraw ? version : undefined, acting);
	}

	/** An upstream of another version that starts after the completion is not one that the roll-out replaced. */
	#mustClose(state: RolloutState | undefined, {shiftingSince}: ReportedRollout): boolean {
		const {clock, localUpstream} = this.#dependencies;
		if (state === rolloutStates.completed) {
			return this.#withdrawn === localUpstream.incarnation;
		}

		return state === rolloutStates.shifting && clock.now() - shiftingSince! >= closeDelayMs;
	}

	#isIsolated({repliedAt}: ReportedRollout): boolean {
		return this.#dependencies.clock.now() - repliedAt >= isolationTimeoutMs;
	}

	#setWithdrawn(version: string | undefined, state: RolloutState | undefined): void {
		const {localUpstream, log} = this.#dependencies;
		const withdrawn = version === undefined ? undefined : localUpstream.incarnation;
		if (withdrawn !== this.#withdrawn) {
			log.info({instance: localUpstream.incarnation, version: localUpstream.version, state}, withdrawn === undefined ? 'Uses the upstream again' : 'Withdrew the upstream');
		}

		this.#withdrawn = withdrawn;
		localUpstream.setWithdrawnVersion(version);
	}

	async #report(rollout: Rollout, current: ReportedRollout): Promise<void> {
		const {id, clock, registry, log} = this.#dependencies;
		const {order} = rollout;
		const slice = computeSlice(registry.getAge(rollout));
		const reasons: string[] = [];
		for (const member of this.#listCoordinators(order.service)) {
			// Another coordinator may lack all earlier slices.
			const firstSlice = member.id === this.#coordinator ? current.firstSlice : 0;
			const reply = await this.#send(member, this.#buildReport(rollout, firstSlice), reasons);
			if (reply?.state === undefined) {
				continue;
			}

			this.#coordinator = member.id;
			current.firstSlice = reply.needsAll ? 0 : slice;
			// Another coordinator may not know yet of a roll-back that could not be recorded; it learns of it from the next report.
			current.repliedState = current.repliedState === rolloutStates.rolledBack && reply.state === rolloutStates.running ? current.repliedState : reply.state;
			// Where this node coordinates, its own reply does not show that it is connected to others.
			current.repliedAt = member.id !== id || registry.isCurrent ? clock.now() : current.repliedAt;
			registry.recordAge(order.service, order, reply.age);
			return;
		}

		log.warn({
			service: order.service, order: order.revision, silence: Math.round(clock.now() - current.repliedAt), reasons,
		}, 'No coordinator took a report');
	}

	async #send(member: Member, report: RolloutReport, reasons: string[]): Promise<RolloutReply | undefined> {
		const {send, clock} = this.#dependencies;
		try {
			const reply = decodeReply(await send(member, JSON.stringify(report)));
			if (reply.state === undefined) {
				reasons.push(`${member.id}: does not know the order`);
			}

			return reply;
		} catch (error) {
			this.#suspensions.set(member.id, clock.now() + suspensionMs);
			reasons.push(`${member.id}: ${describeError(error)}`);
			return undefined;
		}
	}

	/** Lists the members that a report is offered to; those that did not respond come last. */
	#listCoordinators(service: string): Member[] {
		const {membership, clock} = this.#dependencies;
		const ranked = rankCoordinators(membership, service);
		const isSuspended = (member: Member) => (this.#suspensions.get(member.id) ?? 0) > clock.now();
		return [...ranked.filter(member => !isSuspended(member)), ...ranked.filter(member => isSuspended(member))].slice(0, maxAttempts);
	}

	#buildReport(rollout: Rollout, firstSlice: number): RolloutReport {
		const {
			id, process, registry, localUpstream, counts, warmUp,
		} = this.#dependencies;
		const {order} = rollout;
		this.#sequence++;
		const isReady = localUpstream.status.value.state === 'ready';
		return {
			service: order.service,
			order: {era: order.era, revision: order.revision},
			age: registry.getSeenAge(rollout),
			member: id,
			process,
			sequence: this.#sequence,
			version: localUpstream.version,
			isReady,
			isWithdrawn: this.#current?.repliedState === rolloutStates.rolledBack && localUpstream.version === order.to,
			inFlight: localUpstream.admission.running,
			warmFor: Math.round(warmUp.warmFor),
			firstSlice,
			runs: counts.listSince(firstSlice),
		};
	}

	#chooseInterval({order, state}: Rollout, current: ReportedRollout): number {
		const isNewer = this.#dependencies.localUpstream.version === order.to;
		if (!isNewer && (state === rolloutStates.shifting || current.shiftingSince !== undefined)) {
			return closingIntervalMs;
		}

		return isNewer ? newerIntervalMs : olderIntervalMs;
	}

	async #wait(interval: number | undefined, signal: AbortSignal): Promise<void> {
		const controller = new AbortController();
		this.#wake = () => {
			controller.abort();
		};

		if (!signal.aborted && !this.#isWoken) {
			await this.#dependencies.clock.sleep(interval ?? idleCheckMs, controller.signal);
		}

		this.#isWoken = false;
	}
}
