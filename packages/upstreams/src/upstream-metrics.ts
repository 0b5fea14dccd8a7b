/** Prometheus metrics of the local upstream. */
import {Gauge, type Registry} from 'prom-client';
import {type LocalUpstream} from './local-upstream.js';
import {type QuarantineStatus} from './crash-count.js';
import {type Quarantine} from './quarantine.js';

/** Registers gauges that read the state of the local upstream when they are collected. */
export function registerUpstreamMetrics(registry: Registry, localUpstream: LocalUpstream): void {
	const {admission} = localUpstream;
	registerGauge(registry, 'ebonylead_upstream_running', 'Calls that run on the upstream beside the node.', () => admission.running);
	registerGauge(registry, 'ebonylead_upstream_waiting', 'Calls that wait for the upstream beside the node.', () => admission.waiting);
	registerGauge(registry, 'ebonylead_upstream_rate_limit', 'Requests per second that the upstream beside the node takes; -1 if it names no limit.', () => admission.rateLimit ?? -1);
	registerGauge(registry, 'ebonylead_upstream_leaving', '1 where the upstream beside the node leaves or has left.', () => Number(localUpstream.hasLeft));
}

/** Registers the gauges of the requests that crash upstreams. */
export function registerQuarantineMetrics(registry: Registry, quarantine: Quarantine): void {
	const countStatus = (status: QuarantineStatus) => quarantine.listRequests().filter(request => request.status === status).length;
	registerGauge(registry, 'ebonylead_quarantined_requests', 'Requests that are refused because they crash upstreams.', () => countStatus('quarantined'));
	registerGauge(registry, 'ebonylead_suspected_requests', 'Requests that run alone because they may crash upstreams.', () => countStatus('suspect'));
}

/** Registers a gauge that reads its value when it is collected. */
export function registerGauge(registry: Registry, name: string, help: string, read: () => number): void {
	const gauge = new Gauge({
		name,
		help,
		registers: [registry],
		collect() {
			gauge.set(read());
		},
	});
}
