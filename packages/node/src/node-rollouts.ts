/** Creates and connects the components of a node that take part in roll-outs. */
import {describeError} from '@ebonylead/base/errors.js';
import {type Clock, type Random} from '@ebonylead/base/base.js';
import {createPartLogger, type Logger} from '@ebonylead/base/logs.js';
import {type Membership} from '@ebonylead/peers/membership.js';
import {RolloutCoordinator, judgeIntervalMs} from '@ebonylead/rollouts/rollout-coordinator.js';
import {decodeReport, rolloutPath} from '@ebonylead/rollouts/rollout-messages.js';
import {RolloutMetrics} from '@ebonylead/rollouts/rollout-metrics.js';
import {RolloutRegistry} from '@ebonylead/rollouts/rollout-registry.js';
import {RolloutReporter} from '@ebonylead/rollouts/rollout-reporter.js';
import {type RolloutSource} from '@ebonylead/rollouts/rollout-source.js';
import {type RolloutSettings} from '@ebonylead/rollouts/rollouts.js';
import {HttpRolloutTransport} from '@ebonylead/rollouts/rollout-transport.js';
import {RunCounts} from '@ebonylead/rollouts/run-counts.js';
import {StatusRecorder, listStatusRows} from '@ebonylead/rollouts/status-store.js';
import {VersionFilter} from '@ebonylead/rollouts/version-filter.js';
import {WarmUp} from '@ebonylead/rollouts/warm-up.js';
import {type LocalUpstream} from '@ebonylead/upstreams/local-upstream.js';
import {type Registry} from 'prom-client';
import {type MeshNodeDependencies} from './mesh-node-settings.js';

/** Dependencies of `NodeRollouts`. */
export type NodeRolloutsDependencies = {
	/** Identity of this node, and of its process. */
	readonly id: string;
	readonly process: number;
	readonly settings: RolloutSettings;
	readonly source: RolloutSource;
	readonly membership: Membership;
	readonly localUpstream: LocalUpstream;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	readonly metrics: Registry;

	/** Returns the monotonic time in milliseconds until which the last confirmation of the store counts as fresh. */
	readonly getFreshUntil: () => number;

	/** Whether another node sends what it reads in the store. */
	readonly isFollowing: () => boolean;

	/** Called after each change of what is known of roll-outs. */
	readonly onChange: () => void;
};

/** Creates the roll-outs of a node; undefined if the deployment has none. */
export function createRollouts(node: MeshNodeDependencies, dependencies: Omit<NodeRolloutsDependencies, 'id' | 'settings' | 'source' | 'log' | 'metrics'>): NodeRollouts | undefined {
	const {settings: {id, rollouts}, rolloutSource, registry, log} = node;
	return rollouts && rolloutSource && new NodeRollouts({
		...dependencies, id, settings: rollouts, source: rolloutSource, log: createPartLogger(log, 'rollouts'), metrics: registry,
	});
}

/** The roll-outs at one node. Nothing runs periodically while no order is open. */
export class NodeRollouts {
	readonly registry: RolloutRegistry;
	readonly filter: VersionFilter;
	readonly counts: RunCounts;

	/** Handlers of the messages of other nodes. */
	readonly messageHandlers: ReadonlyMap<string, (text: string) => string>;
	readonly #dependencies: NodeRolloutsDependencies;
	readonly #coordinator: RolloutCoordinator;
	readonly #reporter: RolloutReporter;
	readonly #transport = new HttpRolloutTransport();
	#following: AbortController | undefined;
	#wake: (() => void) | undefined;

	constructor(dependencies: NodeRolloutsDependencies) {
		const {id, process, settings, source, membership, localUpstream, clock, random, log, metrics, getFreshUntil} = dependencies;
		this.#dependencies = dependencies;
		this.registry = new RolloutRegistry({
			clock, isFresh: () => clock.now() < getFreshUntil(), onChange: this.#handleChange,
		});
		const {registry} = this;
		const rolloutMetrics = new RolloutMetrics(metrics, registry);
		this.filter = new VersionFilter({
			knowledge: registry,
			random,
			exposeShare: settings.exposeShare,
			onExposed(service) {
				rolloutMetrics.recordExposed(service);
			},
		});
		const warmUp = new WarmUp(localUpstream, clock);
		this.counts = new RunCounts(() => warmUp.warmFor > 0);
		const recorder = new StatusRecorder({
			store: source, registry, clock, log,
		});
		this.#coordinator = new RolloutCoordinator({
			id, registry, membership, recorder, clock, log,
		});
		this.#reporter = new RolloutReporter({
			id,
			process,
			registry,
			membership,
			localUpstream,
			counts: this.counts,
			warmUp,
			clock,
			log,
			send: async (member, text) => member.id === id ? this.#receive(text) : this.#transport.send(`http://${member.host}:${member.meshPort}`, text),
		});
		this.messageHandlers = new Map([[rolloutPath, this.#receive]]);
		source.setOrdersHandler((rows, isComplete, era) => {
			registry.applyOrders(rows, isComplete, era);
		});
	}

	/** Takes part in roll-outs until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		signal.addEventListener('abort', () => {
			this.#stopFollowing();
			this.#wake?.();
		});
		// The upstream is announced after the order, and may be replaced by another process.
		void this.#dependencies.localUpstream.status.observeChanges().observe(() => {
			this.#reporter.wake();
		});
		await Promise.all([this.#reporter.run(signal), this.#coordinate(signal)]);
	}

	/** Describes the roll-outs, for operators. */
	describe(): unknown {
		const {registry} = this;
		const rollouts = registry.listRollouts().map(rollout => ({
			...rollout.order, state: rollout.state, age: Math.round(registry.getAge(rollout)), reason: rollout.status?.status.reason,
		}));
		return {isCurrent: registry.isCurrent, rollouts, coordinated: this.#coordinator.describe()};
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#transport.close();
	}

	readonly #receive = (text: string): string => JSON.stringify(this.#coordinator.receive(decodeReport(text)));

	readonly #handleChange = () => {
		const {log, onChange} = this.#dependencies;
		log.info({
			rollouts: this.registry.listRollouts().map(({order: {service, to, revision}, state}) => ({
				service, to, order: revision, state,
			})),
		}, 'The known roll-outs changed');
		this.#wake?.();
		this.#reporter.wake();
		onChange();
	};

	async #coordinate(signal: AbortSignal): Promise<void> {
		const {clock, log} = this.#dependencies;
		while (!signal.aborted) {
			if (!this.registry.hasOpenRollout) {
				this.#stopFollowing();
				await new Promise<void>(resolve => {
					this.#wake = resolve;
				});
				continue;
			}

			this.#updateFollowing();
			// Its writes may take long while the store is slow; the judgement goes on.
			this.#coordinator.update().catch((error: unknown) => {
				log.error({reason: describeError(error)}, 'Coordinating a roll-out failed');
			});
			await clock.sleep(judgeIntervalMs, signal);
		}
	}

	/** Follows the recorded states while a roll-out is open and no other node sends them. */
	#updateFollowing(): void {
		const {source, isFollowing, log} = this.#dependencies;
		if (isFollowing()) {
			this.#stopFollowing();
			return;
		}

		if (this.#following === undefined) {
			const controller = new AbortController();
			this.#following = controller;
			source.followStatuses(controller.signal, rows => {
				this.registry.applyStatuses(listStatusRows(rows), true);
			}).catch((error: unknown) => {
				log.error({reason: describeError(error)}, 'Following the states of roll-outs failed');
			});
		}
	}

	#stopFollowing(): void {
		this.#following?.abort();
		this.#following = undefined;
	}
}
