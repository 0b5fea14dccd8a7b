/** Prometheus metrics of the refusals by the sidecar. */
import {Counter, type Registry} from 'prom-client';
import {type Outcome, type RefusalCause} from './upstreams.js';

/** Counts the refusals of a sidecar by cause and outcome. */
export class RefusalMetrics {
	readonly #refusals: Counter;

	constructor(registry: Registry) {
		this.#refusals = new Counter({
			name: 'ebonylead_refusals_total', help: 'Calls of other nodes that were refused, by cause and by what is known of their run.', labelNames: ['cause', 'outcome'], registers: [registry],
		});
	}

	/** Records a refusal. */
	recordRefusal(cause: RefusalCause, outcome: Outcome): void {
		this.#refusals.inc({cause, outcome});
	}
}
