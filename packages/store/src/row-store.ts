/** Interface of a store of tables that all nodes share, with a change feed per table. */

/** A row of a shared table. */
export type SharedRow = {
	readonly key: string;

	/** Content; undefined for a row that was removed. */
	readonly value: string | undefined;

	/** Revision of the store at the last write of the row. It increases with every transaction on any row, within an era of the store. */
	readonly revision: number;
};

/** Result of one read of a table: all its rows, or those that changed. */
export type RowPage = {
	readonly rows: readonly SharedRow[];

	/** Revision of the store when the rows were read, or when their reading began if it took several requests; the change feed continues from here. */
	readonly revision: number;

	/**
	 * Era of the store that sent the page. It increases each time the store is
	 * restored from a copy, which loses the writes since the copy and gives their
	 * revisions out again. Revisions can only be compared within an era. A store
	 * that doesn't tell its era stays in era 0.
	 */
	readonly era: number;
};

/** Outcome of a conditional write, with the current revision of the row, 0 if the row does not exist, and the era of the store. */
export type WriteOutcome = {
	readonly kind: 'written' | 'conflict';
	readonly revision: number;
	readonly era: number;
};

/** The store does not keep the changes since the requested revision, so the whole table has to be read again. */
export class HistoryLostError extends Error {
	override readonly name = 'HistoryLostError';
}

/** Store of the shared tables. All methods throw a StepError if the store can't be reached in time. */
export type RowStore = {
	/** Returns all rows of a table. */
	readTable(table: string): Promise<RowPage>;

	/**
	 * Waits for changes of a table after a revision.
	 *
	 * @param maxWait Longest wait in milliseconds; by default the store chooses it.
	 * @returns The changed rows, in the order of their revisions; none if the wait ended without a change.
	 * @throws HistoryLostError if the store does not keep the changes since that revision, or never had it in its era.
	 */
	waitForChanges(table: string, after: number, signal: AbortSignal, maxWait?: number): Promise<RowPage>;

	/**
	 * Writes or removes a row, on the condition that it still has the expected revision.
	 *
	 * @param value New content; undefined removes the row.
	 * @param expectedRevision Revision that the row must have; 0 if it must not exist.
	 * @throws OutcomeUnknownError if the write may have taken effect or may still do so.
	 */
	writeRow(table: string, key: string, value: string | undefined, expectedRevision: number): Promise<WriteOutcome>;
};
