/** Tables of rows that nodes share, with a change feed for each table. */

/** A row of a shared table. */
export type SharedRow = {
	readonly key: string;

	/** Content; undefined for a row that was removed. */
	readonly value: string | undefined;

	/** Grows with every transaction of the store; a later write of any row has a higher one. */
	readonly revision: number;
};

/** Rows of one table at one revision of the store. */
export type RowPage = {
	readonly rows: readonly SharedRow[];

	/** Revision of the store when it was read; the feed continues from here. */
	readonly revision: number;
};

/** How a conditional write ended. */
export type WriteOutcome
	= | {readonly kind: 'written'; readonly revision: number}
	/** The row had another revision; 0 for a row that does not exist. */
		| {readonly kind: 'conflict'; readonly revision: number};

/** The store no longer keeps the changes from which a feed should continue: the whole table has to be read again. */
export class HistoryLostError extends Error {
	override readonly name = 'HistoryLostError';
}

/** The shared tables. All methods throw a StepError when the store can't be reached in time. */
export type RowStore = {
	/** Returns all rows of a table. */
	readTable(table: string): Promise<RowPage>;

	/**
	 * Waits for changes of a table after a revision.
	 *
	 * @returns The changed rows in order; none when the wait ended without a change.
	 * @throws HistoryLostError when the changes since that revision are not kept.
	 */
	waitForChanges(table: string, after: number, signal: AbortSignal): Promise<RowPage>;

	/**
	 * Writes a row, or removes it, if it still has a revision.
	 *
	 * @param value New content; undefined removes the row.
	 * @throws OutcomeUnknownError when the write may have taken effect or may still do so.
	 */
	writeRow(table: string, key: string, value: string | undefined, expectedRevision: number): Promise<WriteOutcome>;
};
