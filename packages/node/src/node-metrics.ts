/** Metrics of a node besides those of its calls. */
import {type Membership} from '@ebonylead/peers/membership.js';
import {type GrpcTransport} from '@ebonylead/peers/grpc-transport.js';
import {type ActiveVersion} from '@ebonylead/rules/active-version.js';
import {type LocalUpstream} from '@ebonylead/upstreams/local-upstream.js';
import {registerGauge, registerUpstreamMetrics} from '@ebonylead/upstreams/upstream-metrics.js';
import {collectDefaultMetrics, type Registry} from 'prom-client';
import {type HeadWatcher} from './head-watcher.js';

/** Sampling interval of the event loop delay in milliseconds. The default of 10 uses 0.5 % of a core per node. */
const eventLoopMonitoringPrecision = 100;

/** Sources of the metrics. */
export type NodeMetricsSources = {
	readonly activeVersion: ActiveVersion;
	readonly membership: Membership;
	readonly transport: GrpcTransport;
	readonly localUpstream: LocalUpstream;
	readonly watcher: HeadWatcher;
	readonly isReady: () => boolean;
};

/** Registers the default metrics of the process, and gauges that read the state of a node when they are collected. */
export function registerNodeMetrics(registry: Registry, sources: NodeMetricsSources): void {
	const {activeVersion, membership, transport, localUpstream, watcher, isReady} = sources;
	collectDefaultMetrics({register: registry, eventLoopMonitoringPrecision});
	registerGauge(registry, 'ebonylead_version', 'Version of the rules in force.', () => activeVersion.version);
	registerGauge(registry, 'ebonylead_version_applied_timestamp_seconds', 'Time at which the version was put in force, since the Unix epoch.', () => activeVersion.current.activatedAt / 1000);
	registerGauge(registry, 'ebonylead_ready', '1 where the node serves calls.', () => Number(isReady()));
	registerGauge(registry, 'ebonylead_members', 'Members that are alive or suspected.', () => membership.aliveCount);
	registerGauge(registry, 'ebonylead_store_up', '1 where the platform answered this node last time.', () => Number(watcher.health === 'up'));
	registerGauge(registry, 'ebonylead_control_bytes', 'Bytes of control messages carried since the start.', () => transport.counts.bytes);
	registerGauge(registry, 'ebonylead_control_messages', 'Control messages carried since the start.', () => transport.counts.messages);
	registerUpstreamMetrics(registry, localUpstream);
}
