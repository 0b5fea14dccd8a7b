/** The rows of the store that hold the states of roll-outs, and how they are written. */
import {type Clock} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type WriteOutcome} from '@ebonylead/store/row-store.js';
import {type RolloutRegistry} from './rollout-registry.js';
import {type RolloutStep} from './rollout-plan.js';
import {
	canReplaceStatus, type RolloutOrder, type RolloutStatus, type RowPosition, type StatusRow,
} from './rollouts.js';

/** A row as it was read; the status is undefined if the row can't be read as one. */
export type ReadStatusRow = {readonly service: string; readonly position: RowPosition; readonly status: RolloutStatus | undefined};

/** The rows in the store. All methods throw a StepError if the store can't be reached in time. */
export type StatusStore = {
	/** Reads all rows. */
	readStatuses(): Promise<readonly ReadStatusRow[]>;

	/** Writes a row, on the condition that it still has the expected revision; 0 if it must not exist. */
	writeStatus(service: string, status: RolloutStatus, expectedRevision: number): Promise<WriteOutcome>;

	/** Follows the rows until the signal is aborted. */
	followStatuses(signal: AbortSignal, onRows: (rows: readonly ReadStatusRow[]) => void): Promise<void>;
};

/** Dependencies of `StatusRecorder`. */
export type StatusRecorderDependencies = {
	readonly store: StatusStore;
	readonly registry: RolloutRegistry;
	readonly clock: Clock;
	readonly log: Logger;
};

/** Writes of one call, as another node may write at the same time. */
const maxWrites = 3;

/** Lists the rows that can be read as a status. */
export function listStatusRows(rows: readonly ReadStatusRow[]): StatusRow[] {
	return rows.flatMap(({status, ...row}) => status === undefined ? [] : [{...row, status}]);
}

/**
 * Records states. Each write is conditional on the revision of the row that was
 * read just before it, so that of two nodes that write different states one
 * succeeds, and the other one adopts its state. A write whose response was lost is
 * settled by reading the row again.
 */
export class StatusRecorder {
	readonly #dependencies: StatusRecorderDependencies;

	constructor(dependencies: StatusRecorderDependencies) {
		this.#dependencies = dependencies;
	}

	/** Records a state of an order, or adopts the one that was recorded. Returns whether the row is settled, so that its state is known to the registry. */
	async record(order: RolloutOrder, {state, reason}: RolloutStep, age: number): Promise<boolean> {
		const {store, registry, clock, log} = this.#dependencies;
		const {service, to} = order;
		try {
			for (let write = 0; write < maxWrites; write++) {
				const rows = await store.readStatuses();
				registry.applyStatuses(listStatusRows(rows), true);
				const row = rows.find(found => found.service === service);
				if (!canReplaceStatus(row?.status, order, state)) {
					return true;
				}

				const startedAt = registry.findRollout(service)?.status?.status.startedAt ?? Math.round(clock.wallTime() - age);
				const status = {
					order: {era: order.era, revision: order.revision}, to, state, startedAt, reason,
				};
				const {kind, era, revision} = await store.writeStatus(service, status, row?.position.revision ?? 0);
				if (kind === 'written') {
					log.info({
						service, to, order: order.revision, state, reason, age: Math.round(age), revision,
					}, 'Recorded the state of a roll-out');
					registry.applyStatuses([{service, position: {era, revision}, status}], false);
					return true;
				}
			}
		} catch (error) {
			log.warn({
				service, to, order: order.revision, state, reason: describeError(error),
			}, 'Recording the state of a roll-out failed');
		}

		return false;
	}
}
