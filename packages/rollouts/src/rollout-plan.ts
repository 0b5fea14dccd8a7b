/** Decides the next state of a roll-out from what is known of it, without a clock or a network. */
import {type Judgement} from './judgement.js';
import {isFinalState, rolloutStates, type RolloutState} from './rollouts.js';

/** What is known of a roll-out at one moment; times are in milliseconds. */
export type RolloutSituation = {
	readonly state: RolloutState;

	/** Time since the order. */
	readonly age: number;

	/** Time within which the roll-out must end. */
	readonly duration: number;
	readonly judgement: Judgement;

	/** For each new upstream that had runs, or for each one if none had, the time since it reached its full speed. */
	readonly warmTimes: readonly number[];

	/** Whether a new upstream was withdrawn by another coordinator, which could not record its decision. */
	readonly isWithdrawn: boolean;

	/** Whether no older upstream is ready, and none has a run in flight. */
	readonly isOlderClosed: boolean;
};

/** A state that follows, and why. */
export type RolloutStep = {readonly state: RolloutState; readonly reason: string};

/** Share of the permitted time after which a good version may be approved. */
const approvalShare = 0.5;

/** Time at full speed that an approval needs, and that the last possible one needs. */
const minWarmMs = 3500;
const minLastWarmMs = 1500;

/** Number of upstreams that need it, as far as there are as many. */
const minWarmUpstreams = 2;

/** Time before the deadline at which a roll-out is completed at the latest. The order may have been seen up to a second late, and the next look comes half a second later. */
const completionMarginMs = 1500;

/** Time that the closing of the older upstreams takes: 500 ms until it begins, and the runs in flight. */
const shiftMs = 1300;

/** Likelihood ratios up to which a version is approved: in general, and if there is no more time for further runs. When in doubt it is rolled back, as a bad version must not be completed. */
const maxSuspicion = 1;
const maxLastSuspicion = 4;

/** Decides what follows; undefined if the state stays. */
export function planNextState(situation: RolloutSituation): RolloutStep | undefined {
	const {state} = situation;
	if (isFinalState(state)) {
		return undefined;
	}

	return state === rolloutStates.shifting ? planCompletion(situation) : planVerdict(situation);
}

function planCompletion({age, duration, isOlderClosed}: RolloutSituation): RolloutStep | undefined {
	if (isOlderClosed) {
		return {state: rolloutStates.completed, reason: 'the older upstreams are closed'};
	}

	return age >= duration - completionMarginMs ? {state: rolloutStates.completed, reason: 'the deadline is near, and not all older upstreams are known to be closed'} : undefined;
}

function planVerdict(situation: RolloutSituation): RolloutStep | undefined {
	const {age, duration, judgement, isWithdrawn} = situation;
	if (isWithdrawn) {
		return {state: rolloutStates.rolledBack, reason: 'another coordinator has rolled it back'};
	}

	if (judgement.isBad) {
		return {state: rolloutStates.rolledBack, reason: judgement.reason};
	}

	if (age >= duration - completionMarginMs - shiftMs) {
		return planLastVerdict(situation);
	}

	const isGood = age >= duration * approvalShare && hasWarmUpstreams(situation, minWarmMs) && judgement.suspicion <= maxSuspicion;
	return isGood ? {state: rolloutStates.shifting, reason: describeApproval(judgement)} : undefined;
}

/** Decides when a later completion would miss the deadline. */
function planLastVerdict(situation: RolloutSituation): RolloutStep {
	const {age, duration, judgement} = situation;
	if (age >= duration) {
		return {state: rolloutStates.rolledBack, reason: 'no decision was recorded before the deadline'};
	}

	if (!hasWarmUpstreams(situation, minLastWarmMs)) {
		return {state: rolloutStates.rolledBack, reason: 'no upstream of the new version ran at full speed for long enough'};
	}

	return judgement.suspicion <= maxLastSuspicion
		? {state: rolloutStates.shifting, reason: describeApproval(judgement)}
		: {state: rolloutStates.rolledBack, reason: `in doubt: ${judgement.reason}`};
}

function hasWarmUpstreams({warmTimes}: RolloutSituation, minTime: number): boolean {
	return warmTimes.length > 0 && warmTimes.filter(time => time >= minTime).length >= Math.min(minWarmUpstreams, warmTimes.length);
}

function describeApproval({runs, reason}: Judgement): string {
	return `${runs} runs of the new version show no fault; the worst test: ${reason}`;
}
