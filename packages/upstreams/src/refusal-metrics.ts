/** Prometheus metrics of the refusals by the sidecar, and of calls that it runs as trials. */
import {Counter, type Registry} from 'prom-client';
import {type Outcome, type RefusalCause} from './upstreams.js';

/** Counts the refusals of a sidecar by cause and outcome, and its trials. */
export class RefusalMetrics {
	readonly #refusals: Counter;
	readonly #trials: Counter;

	constructor(registry: Registry) {
		this.#refusals = new Counter({
			name: 'ebonylead_refusals_total', help: 'Calls of other nodes that were refused, by cause and by what is known of their run.', labelNames: ['cause', 'outcome'], registers: [registry],
		});
		this.#trials = new Counter({
			name: 'ebonylead_trials_total', help: 'Calls that ran although the mean duration of their route says that they won\'t end in time.', registers: [registry],
		});
	}

	/** Records a call that runs as a trial. */
	recordTrial(): void {
		this.#trials.inc();
	}

	/** Records a refusal. */
	recordRefusal(cause: RefusalCause, outcome: Outcome): void {
		this.#refusals.inc({cause, outcome});
	}
}
