/** Prometheus metrics of roll-outs. */
import {Counter, Gauge, type Registry} from 'prom-client';
import {type RolloutRegistry} from './rollout-registry.js';
import {rolloutStates} from './rollouts.js';

/** Values of the gauge by state. */
const stateValues = {
	[rolloutStates.running]: 1, [rolloutStates.shifting]: 2, [rolloutStates.completed]: 3, [rolloutStates.rolledBack]: 4,
} as const;

/** Value of the gauge while it is not known whether a state was recorded. */
const unknownStateValue = 0;

/** Counts the exposed attempts, and exports the state of each service's latest roll-out. Orders name services of the rules, which bounds the number of series. */
export class RolloutMetrics {
	readonly #exposed: Counter;

	constructor(registry: Registry, rollouts: RolloutRegistry) {
		this.#exposed = new Counter({
			name: 'ebonylead_rollout_exposed_total', help: 'Attempts that were sent to the new version of a running roll-out, by service.', labelNames: ['service'], registers: [registry],
		});
		const state = new Gauge({
			name: 'ebonylead_rollout_state',
			help: 'State of the latest roll-out by service: 0 unknown, 1 running, 2 shifting, 3 completed, 4 rolled back.',
			labelNames: ['service'],
			registers: [registry],
			collect() {
				for (const rollout of rollouts.listRollouts()) {
					state.set({service: rollout.order.service}, rollout.state === undefined ? unknownStateValue : stateValues[rollout.state]);
				}
			},
		});
	}

	/** Records an attempt that was sent to the new version. */
	recordExposed(service: string): void {
		this.#exposed.inc({service});
	}
}
