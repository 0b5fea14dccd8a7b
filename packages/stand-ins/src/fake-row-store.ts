/** In-memory row store with faults on demand. */
import {type Clock} from '@ebonylead/base/base.js';
import {OutcomeUnknownError, StepError} from '@ebonylead/base/errors.js';
import {
	HistoryLostError, type RowPage, type RowStore, type SharedRow, type WriteOutcome,
} from '@ebonylead/store/row-store.js';

const storeName = 'fake row store';

/** State of the store at one moment, from which it can be restored. */
export type StoreCopy = {readonly rows: ReadonlyMap<string, SharedRow>; readonly revision: number};

/** Keeps rows in memory; each write wakes the followers that wait for changes. */
export class FakeRowStore implements RowStore {
	/** Whether every operation fails without an effect. */
	isDown = false;

	/** Whether requests that wait for changes get no response, while all others do; applied by the links of a fleet. */
	areFeedsSilent = false;

	/** Number of further writes that take effect, but whose responses are lost. */
	lostResponses = 0;
	readonly #clock: Clock | undefined;
	#rows = new Map<string, SharedRow>();
	readonly #waiters = new Set<() => void>();
	#revision = 0;
	#era = 0;
	#firstKeptRevision = 0;

	/** @param clock By which waiting requests end after their longest wait; undefined if they wait until a write. */
	constructor(clock?: Clock) {
		this.#clock = clock;
	}

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

	/** Copies the present state. */
	createCopy(): StoreCopy {
		return {rows: new Map(this.#rows), revision: this.#revision};
	}

	/** Restores the state of a copy. Writes since the copy are lost, their revisions are given out again, and a new era begins. */
	restoreCopy({rows, revision}: StoreCopy): void {
		this.#rows = new Map(rows);
		this.#revision = revision;
		this.#firstKeptRevision = Math.min(this.#firstKeptRevision, revision);
		this.#era++;
		for (const wake of this.#waiters) {
			wake();
		}
	}

	async readTable(table: string): Promise<RowPage> {
		this.#throwIfDown();
		return {rows: this.#listRows(table).filter(row => row.value !== undefined), revision: this.#revision, era: this.#era};
	}

	async waitForChanges(table: string, after: number, signal: AbortSignal, maxWait?: number): Promise<RowPage> {
		this.#throwIfDown();
		const hasHistory = () => after >= this.#firstKeptRevision && after <= this.#revision;
		if (hasHistory() && !this.#listRows(table).some(row => row.revision > after)) {
			await this.#waitForWrite(signal, maxWait);
		}

		this.#throwIfDown();
		if (!hasHistory()) {
			throw new HistoryLostError('the history was removed or never existed');
		}

		return {rows: this.#listRows(table).filter(row => row.revision > after), revision: this.#revision, era: this.#era};
	}

	async writeRow(table: string, key: string, value: string | undefined, expectedRevision: number): Promise<WriteOutcome> {
		this.#throwIfDown();
		const row = this.#rows.get(`${table}/${key}`);
		const revision = row?.value === undefined ? 0 : row.revision;
		if (revision !== expectedRevision) {
			return {kind: 'conflict', revision, era: this.#era};
		}

		this.setValue(table, key, value);
		if (this.lostResponses > 0) {
			this.lostResponses--;
			throw new OutcomeUnknownError('write row', storeName, 'the response was lost');
		}

		return {kind: 'written', revision: value === undefined ? 0 : this.#revision, era: this.#era};
	}

	#listRows(table: string): SharedRow[] {
		return [...this.#rows].filter(([name]) => name.startsWith(`${table}/`)).map(([, row]) => row);
	}

	#throwIfDown(): void {
		if (this.isDown) {
			throw new StepError('call', storeName, 'the store is down');
		}
	}

	async #waitForWrite(signal: AbortSignal, maxWait: number | undefined): Promise<void> {
		await new Promise<void>(resolve => {
			const wake = () => {
				this.#waiters.delete(wake);
				signal.removeEventListener('abort', wake);
				resolve();
			};

			this.#waiters.add(wake);
			signal.addEventListener('abort', wake);
			if (this.#clock && maxWait !== undefined) {
				void this.#clock.sleep(maxWait, signal).then(wake);
			}
		});
	}
}
