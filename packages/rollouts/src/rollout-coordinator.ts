/** Coordinates the roll-outs whose sidecars report to this node. */
import {type Clock} from '@ebonylead/base/base.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type Membership} from '@ebonylead/peers/membership.js';
import {rankCoordinators} from './coordinator-ranking.js';
import {EvidenceStore} from './evidence-store.js';
import {judgeRollout, type Judgement} from './judgement.js';
import {type RolloutReply, type RolloutReport} from './rollout-messages.js';
import {planNextState, type RolloutStep} from './rollout-plan.js';
import {type Rollout, type RolloutRegistry} from './rollout-registry.js';
import {
	isFinalState, rolloutStates, type RolloutOrder, type RolloutState,
} from './rollouts.js';
import {type StatusRecorder} from './status-store.js';

/** Dependencies of `RolloutCoordinator`. */
export type RolloutCoordinatorDependencies = {
	/** Identity of this node. */
	readonly id: string;
	readonly registry: RolloutRegistry;
	readonly membership: Membership;
	readonly recorder: Pick<StatusRecorder, 'record'>;
	readonly clock: Clock;
	readonly log: Logger;
};

/** Interval in milliseconds between two judgements. */
export const judgeIntervalMs = 500;

/** Time in milliseconds after the last report for which this node goes on to coordinate a roll-out; longer than the interval of the reports. */
const sessionTtlMs = 2500;

/** Time in milliseconds for which this node must have received reports before it takes older upstreams for closed: all of them report within it. */
const minSessionMs = 1500;

/** A roll-out that this node coordinates. */
type Session = {
	readonly order: RolloutOrder;
	readonly startedAt: number;
	readonly evidence: EvidenceStore;

	/** A decision that may not be recorded yet. */
	step: RolloutStep | undefined;
	judgement: Judgement | undefined;
	isRecording: boolean;
};

/** Collects reports, judges, and records what follows. More than one node may coordinate a roll-out: the condition of each write lets one decision through. */
export class RolloutCoordinator {
	readonly #dependencies: RolloutCoordinatorDependencies;
	readonly #sessions = new Map<string, Session>();

	constructor(dependencies: RolloutCoordinatorDependencies) {
		this.#dependencies = dependencies;
	}

	/** Handles a report, and returns the reply. */
	receive(report: RolloutReport): RolloutReply {
		const {registry, clock} = this.#dependencies;
		const rollout = registry.findRollout(report.service);
		if (rollout?.order.revision !== report.order.revision) {
			return {state: undefined, age: 0, needsAll: false};
		}

		registry.recordAge(report.service, report.order, report.age);
		const session = this.#getSession(rollout.order);
		const needsAll = session.evidence.add(report, clock.now());
		if (report.isWithdrawn && report.version === rollout.order.to) {
			session.step = {state: rolloutStates.rolledBack, reason: 'another coordinator has rolled it back'};
		}

		return {state: this.#getReplyState(session), age: registry.getSeenAge(registry.findRollout(report.service)!), needsAll};
	}

	/** Judges the open roll-outs that this node coordinates, and records what follows. */
	async update(): Promise<void> {
		const {registry} = this.#dependencies;
		for (const [service, {order}] of this.#sessions) {
			const rollout = registry.findRollout(service);
			if (rollout?.order !== order || isEnded(rollout)) {
				this.#sessions.delete(service);
			}
		}

		await Promise.all(registry.listRollouts().map(async rollout => this.#updateRollout(rollout)));
	}

	/** Describes what this node coordinates, for operators. */
	describe(): Array<Record<string, unknown>> {
		return [...this.#sessions.values()].map(({order, judgement, step}) => ({
			service: order.service, to: order.to, judgement, undecided: step === undefined,
		}));
	}

	#getSession(order: RolloutOrder): Session {
		let session = this.#sessions.get(order.service);
		if (session?.order !== order) {
			session = {
				order, startedAt: this.#dependencies.clock.now(), evidence: new EvidenceStore(), step: undefined, judgement: undefined, isRecording: false,
			};
			this.#sessions.set(order.service, session);
		}

		return session;
	}

	/** A roll-back is carried out before it is recorded: the store may be unavailable, and a bad version must not get more calls. */
	#getReplyState({order, step}: Session): RolloutState {
		const recorded = this.#dependencies.registry.findRollout(order.service)?.state ?? rolloutStates.running;
		return recorded === rolloutStates.running && step?.state === rolloutStates.rolledBack ? step.state : recorded;
	}

	async #updateRollout(rollout: Rollout): Promise<void> {
		const {registry, recorder, log} = this.#dependencies;
		const {order, state, status} = rollout;
		if (isEnded(rollout) || !this.#isCoordinator(order)) {
			return;
		}

		const session = this.#getSession(order);
		if (session.isRecording) {
			return;
		}

		// A roll-back that could not be recorded stays the decision of this node, whatever later runs show.
		const before = session.step;
		if (session.step?.state !== rolloutStates.rolledBack || state !== rolloutStates.running) {
			session.step = this.#plan(session, rollout);
		}

		if (session.step && session.step.state !== before?.state) {
			log.info({
				service: order.service, to: order.to, order: order.revision, age: Math.round(registry.getAge(rollout)), ...session.step,
			}, 'Decided on a roll-out');
		}

		// Final states have no next one, but the store may have lost them.
		const final = status && isFinalState(status.status.state) ? status.status : undefined;
		const step = final ?? session.step ?? (status === undefined ? {state: rolloutStates.running, reason: 'ordered'} : undefined);
		if (step) {
			session.isRecording = true;
			try {
				await recorder.record(order, step, registry.getAge(rollout));
			} finally {
				session.isRecording = false;
			}
		}
	}

	#plan(session: Session, rollout: Rollout): RolloutStep | undefined {
		const {registry, clock} = this.#dependencies;
		const {order, state = rolloutStates.running} = rollout;
		const {evidence} = session;
		const now = clock.now();
		session.judgement = judgeRollout(evidence.listEvidence(order.to));
		return planNextState({
			state,
			age: registry.getAge(rollout),
			duration: order.duration,
			judgement: session.judgement,
			warmTimes: evidence.listWarmTimes(order.to, now),
			isWithdrawn: evidence.isWithdrawn(order.to, now),
			isOlderClosed: now - session.startedAt >= minSessionMs && this.#isOlderClosed(session, now),
		});
	}

	#isOlderClosed({order, evidence}: Session, now: number): boolean {
		const isReady = this.#dependencies.membership.listReady(order.service).some(member => (member.upstreamVersion ?? '') !== order.to);
		return !isReady && evidence.isOlderClosed(order.to, now);
	}

	/** A node coordinates what is reported to it. The first in rank does so without reports too, so that an order is answered in any case. */
	#isCoordinator(order: RolloutOrder): boolean {
		const {id, membership, clock} = this.#dependencies;
		const session = this.#sessions.get(order.service);
		const hasReports = session?.order === order && clock.now() - session.evidence.lastReportAt <= sessionTtlMs;
		return hasReports || rankCoordinators(membership, order.service)[0]?.id === id;
	}
}

/** Whether nothing is left to decide or to record. */
function isEnded({state, isConfirmed}: Rollout): boolean {
	return state !== undefined && isFinalState(state) && isConfirmed;
}
