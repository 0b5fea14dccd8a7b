/** What a mesh node is configured with, and what it is created from. */
import {type Logger} from '@ebonylead/base/logs.js';
import {type LoadBalancing} from '@ebonylead/capacity/capacity.js';
import {type CallerProtocol} from '@ebonylead/callers/caller-protocol.js';
import {type RolloutSource} from '@ebonylead/rollouts/rollout-source.js';
import {type RolloutSettings} from '@ebonylead/rollouts/rollouts.js';
import {type RuleSource} from '@ebonylead/rules/rule-source.js';
import {type RowStore} from '@ebonylead/store/row-store.js';
import {type UpstreamCheck} from '@ebonylead/upstreams/upstream-check.js';
import {type UpstreamProtocol} from '@ebonylead/upstreams/upstream-protocol.js';
import {type Registry} from 'prom-client';

/** Settings of a mesh node. */
export type MeshNodeSettings = {
	readonly id: string;
	readonly dataCentre: string;
	readonly region: string;
	readonly host: string;

	/** Hosts that may run a node; state is fetched from them while the store is unavailable and no other member is known. */
	readonly seedHosts: readonly string[];

	/** Port for the calls of other nodes. */
	readonly meshPort: number;

	/** Port for callers on this VM. */
	readonly callerPort: number;

	/** Bandwidth of the VM's link in kbit/s; undefined if it is not known. */
	readonly linkRate?: number;

	/** How calls are distributed among upstreams; by load if undefined. */
	readonly loadBalancing?: LoadBalancing;

	/** Whether calls to the upstream of the node's own VM stay in the process, and are preferred; not if undefined. */
	readonly localAttempts?: boolean;

	/** Number of retries that all nodes together may make in addition to the ratio; divided evenly among the nodes. */
	readonly retrySlack: number;

	/** Number of retries allowed per first attempt. */
	readonly retryRatio: number;

	/** Age in milliseconds of the last confirmation from the store from which on requests with keys are refused, as a key may have been removed; undefined if they are served whatever its age. */
	readonly maxConfirmationAge?: number;

	/** Timeout of a graceful stop in milliseconds. */
	readonly stopTimeout: number;

	/** Bounds of roll-outs; undefined if the deployment has none. */
	readonly rollouts?: RolloutSettings;

	/** Length in milliseconds of the windows in which the quotas of organisations hold; undefined if quotas are not enforced. */
	readonly quotaWindow?: number;

	/** Share by which all nodes together may exceed a quota, and number of requests beyond that. */
	readonly quotaOver?: number;
	readonly quotaSlack?: number;
};

/** Dependencies of `MeshNode`. */
export type MeshNodeDependencies = {
	readonly settings: MeshNodeSettings;
	readonly store: RowStore;
	readonly ruleSource: RuleSource;
	readonly callerProtocol: CallerProtocol;
	readonly upstreamProtocol: UpstreamProtocol;

	/** Asks the local upstream whether it leaves; undefined where it can't be asked. */
	readonly upstreamCheck?: UpstreamCheck;
	readonly registry: Registry;

	/** Orders and recorded states of roll-outs; undefined where there are none. */
	readonly rolloutSource?: RolloutSource;
	readonly log: Logger;
};
