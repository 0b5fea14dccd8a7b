/** Row store that delivers the rows of one table as another node sends them, and otherwise those of the store. */
import {type Clock} from '@ebonylead/base/base.js';
import {
	HistoryLostError, type RowPage, type RowStore, type WriteOutcome,
} from '@ebonylead/store/row-store.js';
import {type RowCache} from './row-cache.js';

/** Dependencies of `RelayedRowStore`. */
export type RelayedRowStoreDependencies = {
	readonly store: RowStore;

	/** Rows of the table, which this class also fills from the store. */
	readonly cache: RowCache;
	readonly clock: Clock;

	/** Whether another node that has a fresh confirmation from the store sends the rows to this node. */
	readonly isRelayed: () => boolean;
};

/** Interval at which a wait for rows checks whether they still come from the other node. */
const checkIntervalMs = 500;

/** Reads of the table are answered from the cache while the rows are relayed; writes always go to the store. */
export class RelayedRowStore implements RowStore {
	readonly #dependencies: RelayedRowStoreDependencies;

	constructor(dependencies: RelayedRowStoreDependencies) {
		this.#dependencies = dependencies;
	}

	async readTable(table: string): Promise<RowPage> {
		const {store, cache} = this.#dependencies;
		if (this.#isRelayed) {
			return {rows: cache.listRows(), ...cache.cursor!};
		}

		const page = await store.readTable(table);
		cache.apply(page, true);
		return page;
	}

	async waitForChanges(table: string, after: number, signal: AbortSignal, maxWait?: number): Promise<RowPage> {
		const {store, cache} = this.#dependencies;
		if (this.#isRelayed) {
			return this.#waitForRelayed(table, after, signal);
		}

		const page = await store.waitForChanges(table, after, signal, maxWait);
		cache.apply(page, false);
		return page;
	}

	async writeRow(table: string, key: string, value: string | undefined, expectedRevision: number): Promise<WriteOutcome> {
		return this.#dependencies.store.writeRow(table, key, value, expectedRevision);
	}

	get #isRelayed(): boolean {
		const {cache, isRelayed} = this.#dependencies;
		return cache.cursor !== undefined && isRelayed();
	}

	async #waitForRelayed(table: string, after: number, signal: AbortSignal): Promise<RowPage> {
		const {cache, clock} = this.#dependencies;
		if (cache.changedAt <= after) {
			const controller = new AbortController();
			const wake = () => {
				controller.abort();
			};

			cache.addListener(wake);
			signal.addEventListener('abort', wake);
			await clock.sleep(checkIntervalMs, controller.signal);
			signal.removeEventListener('abort', wake);
			cache.removeListener(wake);
		}

		const rows = cache.listChanges(after);
		if (rows === undefined) {
			throw new HistoryLostError(`wait for changes (${table}): the changes since revision ${after} are not kept`);
		}

		return {rows, ...cache.cursor!};
	}
}
