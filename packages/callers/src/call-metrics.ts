/** Prometheus metrics of calls on the entry node. */
import {Counter, Histogram, type Registry} from 'prom-client';

/** How a call ended: values of the label `result`. */
export const callResults = {
	answered: 'answered',
	notRun: 'not-run',
	unknown: 'unknown',
	cut: 'cut',
	callerLeft: 'caller-left',
} as const;

/** One of `callResults`. */
export type CallResult = typeof callResults[keyof typeof callResults];

const durationBucketsSeconds = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10];

type CallSeries = {
	readonly calls: Counter.Internal;
	readonly durations: Histogram.Internal<string>;
};

/** Counts, results and durations of calls by service. The rules bound the number of services, and so the number of series. */
export class CallMetrics {
	readonly #calls: Counter;
	readonly #retries: Counter;
	readonly #durations: Histogram;

	/** Labelled series by service and result: a lookup by labels in the Prometheus client costs several times as much. */
	readonly #series = new Map<string, CallSeries>();

	constructor(registry: Registry) {
		this.#calls = new Counter({
			name: 'ebonylead_calls_total', help: 'Calls from callers by service and result.', labelNames: ['service', 'result'], registers: [registry],
		});
		this.#retries = new Counter({
			name: 'ebonylead_call_retries_total', help: 'Tries after the first one by service.', labelNames: ['service'], registers: [registry],
		});
		this.#durations = new Histogram({
			name: 'ebonylead_call_duration_seconds', help: 'Time of a call from its arrival to its end.', labelNames: ['service'], buckets: durationBucketsSeconds, registers: [registry],
		});
	}

	/** Records a retry. */
	recordRetry(service: string): void {
		this.#retries.inc({service});
	}

	/** Records the end of a call; the duration is in milliseconds. */
	recordCall(service: string, result: CallResult, duration: number): void {
		const key = `${service} ${result}`;
		let series = this.#series.get(key);
		if (series === undefined) {
			series = {calls: this.#calls.labels({service, result}), durations: this.#durations.labels({service})};
			this.#series.set(key, series);
		}

		series.calls.inc();
		series.durations.observe(duration / 1000);
	}
}
