/** Creates what a node needs to balance the load as its settings say. */
import {type Clock} from '@ebonylead/base/base.js';
import {createPartLogger, type Logger} from '@ebonylead/base/logs.js';
import {CapacityLearner, type LimitChange} from '@ebonylead/capacity/capacity-learner.js';
import {loadBalancings} from '@ebonylead/capacity/capacity.js';
import {type RankingFactory} from '@ebonylead/callers/candidate-ranking.js';
import {FinishRanking} from '@ebonylead/callers/finish-ranking.js';
import {type LocalUpstream} from '@ebonylead/upstreams/local-upstream.js';
import {type RunObserver} from '@ebonylead/upstreams/run-observer.js';
import {registerGauge} from '@ebonylead/upstreams/upstream-metrics.js';
import {Counter} from 'prom-client';
import {type MeshNodeDependencies} from './mesh-node-settings.js';

/** Parts of a node that depend on the way of load balancing; all empty where it is by load. */
export type LoadBalancingParts = {
	readonly learner?: CapacityLearner;

	/** Dependencies of the sidecar, with the observers of other parts. */
	readonly sidecar: {
		readonly runObservers?: readonly RunObserver[];
		readonly formatCapacity?: (route: string) => string | undefined;
	};
	readonly createRanking?: RankingFactory;
};

/** Dependencies of `createLoadBalancing`. */
export type LoadBalancingDependencies = {
	readonly localUpstream: LocalUpstream;
	readonly clock: Clock;

	/** Observers of other parts of the node. */
	readonly runObservers: readonly RunObserver[] | undefined;
};

/** Minimum change of the limit since the last line for another one: it changes by one several times a second at most, and by chance. */
const minLoggedChange = 2;

/** Creates the parts. */
export function createLoadBalancing(
	{settings, registry, log: rootLog}: Pick<MeshNodeDependencies, 'settings' | 'registry' | 'log'>,
	{localUpstream, clock, runObservers}: LoadBalancingDependencies,
): LoadBalancingParts {
	if (settings.loadBalancing !== loadBalancings.learnt) {
		return {sidecar: {runObservers}};
	}

	const log = createPartLogger(rootLog, 'capacity');

	let loggedLimit = 0;
	const learner = new CapacityLearner({
		clock,
		getAnnounced: () => ({slots: localUpstream.status.value.slots, incarnation: localUpstream.incarnation}),
		onLimit(limit, change) {
			localUpstream.admission.setSlots(limit);
			if (Math.abs(limit - loggedLimit) >= minLoggedChange && change.reason !== 'probed' && change.reason !== 'probe-ended') {
				loggedLimit = limit;
				logChange(log, localUpstream, limit, change);
			}
		},
	});
	registerGauge(registry, 'ebonylead_upstream_learnt_limit', 'Calls that the upstream beside the node runs at the same time without loss, as learnt.', () => learner.limit);
	registerGauge(registry, 'ebonylead_upstream_slowness', 'Present service time of the upstream beside the node relative to its usual one.', () => learner.present);
	const choices = new Counter({
		name: 'ebonylead_choices_total', help: 'Choices of upstreams by reason.', labelNames: ['reason'], registers: [registry],
	});
	return {
		learner,
		sidecar: {runObservers: [learner, ...(runObservers ?? [])], formatCapacity: route => learner.formatReport(route)},
		createRanking: dependencies => new FinishRanking(dependencies, reason => {
			choices.inc({reason});
		}),
	};
}

function logChange(log: Logger, {instance}: LocalUpstream, limit: number, change: LimitChange): void {
	const {before, announced, reason, present, runs} = change;
	log.info({
		instance, limit, before, announced, reason, slowness: Number(present.toFixed(2)), runs,
	}, 'The learnt limit of the upstream changed');
}
