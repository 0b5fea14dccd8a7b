/** In-memory row store with faults on demand. */
import {OutcomeUnknownError, StepError} from '@ebonylead/base/errors.js';
import {
	HistoryLostError, type RowPage, type RowStore, type SharedRow, type WriteOutcome,
} from '@ebonylead/store/row-store.js';

const storeName = 'fake row store';

/** Keeps rows in memory; each write wakes the followers that wait for changes. */
export class FakeRowStore implements RowStore {
	/** Whether every operation fails without an effect. */
	isDown = false;

	/** Number of further writes that take effect, but whose responses are lost. */
	lostResponses = 0;
	readonly #rows = new Map<string, SharedRow>();
	readonly #waiters = new Set<() => void>();
	#revision = 0;
	#firstKeptRevision = 0;

	/** Returns the value of a row; undefined if there is none. */
	findValue(table: string, key: string): string | undefined {
		return this.#rows.get(`${table}/${key}`)?.value;
	}

	/** Returns whether a row exists. */
	hasRow(table: string, key: string): boolean {
		return this.findValue(table, key) !== undefined;
	}

	/** Sets the value of a row regardless of its revision, as another writer may; undefined removes the row. */
	setValue(table: string, key: string, value: string | undefined): void {
		this.#revision++;
		this.#rows.set(`${table}/${key}`, {key, value, revision: this.#revision});
		for (const wake of this.#waiters) {
			wake();
		}
	}

	/** Removes the history of changes, so that followers of an earlier revision have to read the table again. */
	removeHistory(): void {
		this.#firstKeptRevision = this.#revision;
		for (const wake of this.#waiters) {
			wake();
		}
	}

	async readTable(table: string): Promise<RowPage> {
		this.#throwIfDown();
		return {rows: this.#listRows(table).filter(row => row.value !== undefined), revision: this.#revision};
	}

	async waitForChanges(table: string, after: number, signal: AbortSignal): Promise<RowPage> {
		this.#throwIfDown();
		const isChanged = () => this.#listRows(table).some(row => row.revision > after) || after < this.#firstKeptRevision;
		if (!isChanged()) {
			await this.#waitForWrite(signal);
		}

		this.#throwIfDown();
		if (after < this.#firstKeptRevision) {
			throw new HistoryLostError('the history was removed');
		}

		return {rows: this.#listRows(table).filter(row => row.revision > after), revision: this.#revision};
	}

	async writeRow(table: string, key: string, value: string | undefined, expectedRevision: number): Promise<WriteOutcome> {
		this.#throwIfDown();
		const row = this.#rows.get(`${table}/${key}`);
		const revision = row?.value === undefined ? 0 : row.revision;
		if (revision !== expectedRevision) {
			return {kind: 'conflict', revision};
		}

		this.setValue(table, key, value);
		if (this.lostResponses > 0) {
			this.lostResponses--;
			throw new OutcomeUnknownError('write row', storeName, 'the response was lost');
		}

		return {kind: 'written', revision: value === undefined ? 0 : this.#revision};
	}

	#listRows(table: string): SharedRow[] {
		return [...this.#rows].filter(([name]) => name.startsWith(`${table}/`)).map(([, row]) => row);
	}

	#throwIfDown(): void {
		if (this.isDown) {
			throw new StepError('call', storeName, 'the store is down');
		}
	}

	async #waitForWrite(signal: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			const wake = () => {
				this.#waiters.delete(wake);
				resolve();
			};

			this.#waiters.add(wake);
			signal.addEventListener('abort', wake);
		});
	}
}
