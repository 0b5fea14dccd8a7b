/** Follows the rows of one table of a row store through its change feed. */
import {type Clock} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {
	HistoryLostError, type RowPage, type RowStore, type SharedRow,
} from './row-store.js';

/** Dependencies of `TableFollower`. */
export type TableFollowerDependencies = {
	readonly store: RowStore;
	readonly table: string;
	readonly clock: Clock;
	readonly log: Logger;

	/** Returns the least interval in milliseconds between two reads of changes; 0 where it is left out. */
	readonly getMinInterval?: () => number;

	/** Called with changed rows, or with all rows of the table where `isComplete` is true. */
	readonly onRows: (rows: readonly SharedRow[], isComplete: boolean) => void;
};

/** Backoff after a failed read: it doubles with each failure in a row, from twice the base up to the maximum. A store that recovers is read again within a second. */
const backoffBaseMs = 50;
const maxBackoffMs = 400;

/** Reads a table, then follows its change feed; reads the whole table again when the store no longer keeps the changes since the last read. */
export class TableFollower {
	readonly #dependencies: TableFollowerDependencies;
	#cursor: number | undefined;
	#failures = 0;
	#lastResponseAt = Number.NEGATIVE_INFINITY;

	constructor(dependencies: TableFollowerDependencies) {
		this.#dependencies = dependencies;
	}

	/** Monotonic time in milliseconds of the last response of the store; minus infinity before the first one. */
	get lastResponseAt(): number {
		return this.#lastResponseAt;
	}

	/** Whether the store is unavailable: the last read failed. */
	get isUnavailable(): boolean {
		return this.#failures > 0;
	}

	/** Follows the table until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			try {
				await this.#readOnce(signal);
			} catch (error) {
				if (!signal.aborted) {
					await this.#handleFailure(error, signal);
				}
			}
		}
	}

	async #readOnce(signal: AbortSignal): Promise<void> {
		const {
			store, table, onRows, getMinInterval, clock,
		} = this.#dependencies;
		if (this.#cursor === undefined) {
			const page = await store.readTable(table);
			this.#recordResponse(page);
			onRows(page.rows, true);
			return;
		}

		const page = await store.waitForChanges(table, this.#cursor, signal);
		this.#recordResponse(page);
		if (page.rows.length > 0) {
			onRows(page.rows, false);
			// Each change completes the pending reads of all nodes; changes made during this wait arrive together with the next response.
			await clock.sleep(getMinInterval?.() ?? 0, signal);
		}
	}

	#recordResponse(page: RowPage): void {
		this.#cursor = Math.max(page.revision, this.#cursor ?? 0);
		this.#lastResponseAt = this.#dependencies.clock.now();
		if (this.#failures > 0) {
			this.#dependencies.log.info({table: this.#dependencies.table, revision: page.revision, failures: this.#failures}, 'The store answers again');
			this.#failures = 0;
		}
	}

	async #handleFailure(error: unknown, signal: AbortSignal): Promise<void> {
		const {table, log, clock} = this.#dependencies;
		if (error instanceof HistoryLostError) {
			log.warn({table, revision: this.#cursor}, 'The store no longer keeps the history of this table; reading it anew');
			this.#cursor = undefined;
			return;
		}

		this.#failures++;
		if (this.#failures === 1) {
			log.warn({table, revision: this.#cursor, reason: describeError(error)}, 'The store does not answer');
		}

		await clock.sleep(Math.min(maxBackoffMs, backoffBaseMs * (2 ** this.#failures)), signal);
	}
}
