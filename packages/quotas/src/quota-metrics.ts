/** Prometheus metrics of quotas on one node. */
import {Counter, Gauge, type Registry} from 'prom-client';
import {type QuotaNode} from './quota-node.js';

/** Maximum number of organisations with a label of their own. Only refused ones get one, as these are what operators look for. */
const maxLabels = 20;
const otherLabel = 'other';

/** Counts refusals by organisation, and shows the state of the quotas here. */
export class QuotaMetrics {
	readonly #refusals: Counter;
	readonly #labels = new Set<string>();

	constructor(registry: Registry, quotas: QuotaNode) {
		this.#refusals = new Counter({
			name: 'ebonylead_quota_refusals_total', help: 'Requests refused for the quota of their organisation.', labelNames: ['organisation'], registers: [registry],
		});
		createGauge(registry, 'ebonylead_quota_limited_organisations', 'Organisations that are limited at this node.', () => quotas.gate.listLimits().length);
		createGauge(registry, 'ebonylead_quota_reporters', 'Nodes that report to this node as the quota home.', () => quotas.ledger.reporterCount);
		createGauge(registry, 'ebonylead_quota_isolated', '1 while this node reaches no quota home and uses only its own part of the quotas.', () => Number(quotas.gate.isIsolated));
	}

	/** Records a refusal. */
	recordRefusal(organisation: string): void {
		if (this.#labels.size < maxLabels) {
			this.#labels.add(organisation);
		}

		this.#refusals.inc({organisation: this.#labels.has(organisation) ? organisation : otherLabel});
	}
}

function createGauge(registry: Registry, name: string, help: string, read: () => number): void {
	const gauge: Gauge = new Gauge({
		name, help, registers: [registry], collect() {
			gauge.set(read());
		},
	});
}
