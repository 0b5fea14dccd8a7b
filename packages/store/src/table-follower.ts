/** Follows the rows of one table through the change feed of the store. */
import {type Clock} from '@ebonylead/base/base.js';
import {StepError, describeError} from '@ebonylead/base/errors.js';
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

	/** Returns the minimum interval in milliseconds between two reads of changes; 0 by default. */
	readonly getMinInterval?: () => number;

	/** Longest wait for changes in milliseconds; by default the store chooses it. With it the store is heard at least that often, also between two reads of changes. */
	readonly maxWait?: number;

	/** Called with the changed rows, or with all rows of the table if `isComplete` is true. The first rows of an era of the store are complete; eras only increase. */
	readonly onRows: (rows: readonly SharedRow[], isComplete: boolean, era: number) => void;
};

/** Backoff after a failed read. It doubles with each consecutive failure, from twice the base up to the maximum, so that a recovered store is read again within a second. */
const backoffBaseMs = 50;
const maxBackoffMs = 400;

/** First wait for changes of a run or after a pause, where the store must be heard regularly. */
const firstWaitMs = 1;

/** Part of a pause that may count as heard while the store has later writes, from the start of the last read: they may be of this table, and another node must have time to read them if this one loses the store. */
const maxUnreadMs = 300;

/** Time in milliseconds after the longest wait for changes from which on the response is overdue. */
const overdueMs = 300;

/** Table without rows, whose reading shows at the least cost that the store answers. */
const emptyTable = 'empty';

/** Rows from the store, all of the table if `isComplete`. */
type FetchedChanges = {readonly page: RowPage; readonly isComplete: boolean};

/** Reads a table, then follows its change feed; reads the whole table again when the store no longer keeps the changes since the last read, or was restored from a copy. */
export class TableFollower {
	readonly #dependencies: TableFollowerDependencies;
	#cursor: number | undefined;
	#era: number | undefined;
	#failures = 0;
	#lastResponseAt = Number.NEGATIVE_INFINITY;

	/** Duration in milliseconds of the last read that did not wait for changes. */
	#readDuration = 0;

	/** Whether the next wait for changes is the first one of a run or after a pause; it shows at once that the store answers. */
	#isFirstWait = true;

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

	/** Follows the table until the signal is aborted. A later run goes on from there. */
	async run(signal: AbortSignal): Promise<void> {
		this.#isFirstWait = true;
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
			store, table, clock, onRows, getMinInterval,
		} = this.#dependencies;
		const startedAt = clock.now();
		if (this.#cursor === undefined) {
			const page = await store.readTable(table);
			this.#recordResponse(page);
			this.#readDuration = clock.now() - startedAt;
			onRows(page.rows, true, page.era);
			return;
		}

		const knownEra = this.#era;
		const {page, isComplete} = await this.#fetchChanges(this.#cursor, signal);
		const duration = clock.now() - startedAt;
		const readDuration = this.#isFirstWait ? duration : Math.min(duration, this.#readDuration);
		this.#isFirstWait = false;
		this.#recordResponse(page);
		if (page.era !== knownEra) {
			// Its rows are those after a revision of the earlier era.
			this.#cursor = undefined;
			return;
		}

		if (page.rows.length > 0) {
			onRows(page.rows, isComplete, page.era);
			this.#readDuration = readDuration;
			// Each change completes the pending feed requests of all nodes. Waiting here bounds their rate; the changes made meanwhile arrive together in the next response.
			await this.#pause(getMinInterval?.() ?? 0, signal);
			this.#isFirstWait = true;
		}
	}

	/**
	 * Waits for changes. If the response is overdue, reads the table as well, and takes what
	 * comes first: a store that reorganises its history may hold back only the responses to waiting requests.
	 */
	async #fetchChanges(cursor: number, signal: AbortSignal): Promise<FetchedChanges> {
		const {store, table, clock, maxWait} = this.#dependencies;
		const wait = maxWait && this.#isFirstWait ? firstWaitMs : maxWait;
		const controller = new AbortController();
		const waiting = store.waitForChanges(table, cursor, AbortSignal.any([signal, controller.signal]), wait).then(page => ({page, isComplete: false}));
		if (wait === undefined || this.#failures > 0) {
			return waiting;
		}

		// Rows that have changed during a pause take their time on the way.
		const transfer = this.#isFirstWait ? this.#readDuration : 0;
		try {
			const overdue = clock.sleep(wait + transfer + overdueMs, controller.signal).then(() => undefined);
			return await Promise.race([waiting, overdue]) ?? await this.#readOverdue(waiting, cursor);
		} finally {
			controller.abort();
		}
	}

	/** Reads the table while a request waits whose response is overdue; fails if both do. */
	async #readOverdue(waiting: Promise<FetchedChanges>, cursor: number): Promise<FetchedChanges> {
		const {table, log} = this.#dependencies;
		log.info({table, revision: cursor}, 'Reading the table, as the response to a waiting request is overdue');
		try {
			return await Promise.any([waiting, this.#readFrom(cursor)]);
		} catch {
			// Its reason is that of the request that would have been enough.
			return waiting;
		}
	}

	/** @throws StepError if the rows are of an earlier time than those that are known. */
	async #readFrom(cursor: number): Promise<FetchedChanges> {
		const {store, table} = this.#dependencies;
		const page = await store.readTable(table);
		if (page.era === this.#era && page.revision < cursor) {
			throw new StepError('read table', table, `the rows are of revision ${page.revision}, before ${cursor}`);
		}

		return {page, isComplete: true};
	}

	/** Waits until an interval has passed since the start of the last read, but at least half of it. */
	async #pause(interval: number, signal: AbortSignal): Promise<void> {
		const {store, clock, maxWait} = this.#dependencies;
		const readAt = this.#lastResponseAt - this.#readDuration;
		const until = Math.max(readAt + interval, this.#lastResponseAt + (interval / 2));
		const step = maxWait ?? interval;
		while (until - clock.now() > step && !signal.aborted) {
			await clock.sleep(step, signal);
			const {revision, era} = await store.readTable(emptyTable);
			const isCurrent = revision === this.#cursor && era === this.#era;
			this.#lastResponseAt = isCurrent ? clock.now() : Math.max(this.#lastResponseAt, readAt + maxUnreadMs);
		}

		await clock.sleep(Math.max(0, until - clock.now()), signal);
	}

	/** @throws StepError if the response is of an earlier era than another one before it. */
	#recordResponse({revision, era}: RowPage): void {
		const {table, clock, log} = this.#dependencies;
		const knownEra = this.#era ?? era;
		if (era < knownEra) {
			throw new StepError('follow table', table, `the response is of era ${era}, the store is in era ${knownEra}`);
		}

		if (era > knownEra) {
			log.warn({
				table, revision, era, before: knownEra,
			}, 'The store was restored from a copy');
		}

		this.#cursor = era === knownEra ? Math.max(revision, this.#cursor ?? 0) : revision;
		this.#era = era;
		this.#lastResponseAt = clock.now();
		if (this.#failures > 0) {
			log.info({table, revision, failures: this.#failures}, 'The store answers again');
			this.#failures = 0;
		}
	}

	async #handleFailure(error: unknown, signal: AbortSignal): Promise<void> {
		const {table, log, clock} = this.#dependencies;
		if (error instanceof HistoryLostError) {
			log.warn({table, revision: this.#cursor}, 'The store does not have the history of this table; reading it anew');
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
