/**
 * Interfaces of the two services of the platform that ebonylead uses: a table
 * service and an object store. They have few methods, so that other platforms
 * are easy to support.
 */

/** A row of the table service. */
export type Row = {
	readonly key: string;

	/** Content in JSON. */
	readonly value: string;

	/** Counts the writes of this row, from 1; 0 stands for a row that does not exist. */
	readonly revision: number;
};

/** A condition of a transaction: the row must have exactly this revision. */
export type RowCondition = {
	readonly key: string;
	readonly revision: number;
};

/** A write of a transaction. */
export type RowWrite = {
	readonly key: string;
	readonly value: string;
};

/** Conditions and writes that take effect atomically, or not at all. */
export type Transaction = {
	readonly conditions: readonly RowCondition[];
	readonly writes: readonly RowWrite[];
};

/** Outcome of a transaction: `conflict` means that a condition did not hold and nothing was written. */
export type TransactionOutcome = 'committed' | 'conflict';

/** The transactional table service. */
export type TableService = {
	/**
	 * Returns a row; undefined if it does not exist.
	 *
	 * @throws StepError when the service can't be reached in time.
	 */
	readRow(key: string): Promise<Row | undefined>;

	/**
	 * Returns the rows whose keys start with a prefix, in the order of their keys.
	 *
	 * @throws StepError when the service can't be reached in time.
	 */
	listRows(prefix: string): Promise<Row[]>;

	/**
	 * Runs a transaction.
	 *
	 * @throws StepError if it certainly had no effect.
	 * @throws OutcomeUnknownError if it may have taken effect, or may still do so.
	 */
	runTransaction(transaction: Transaction): Promise<TransactionOutcome>;
};

/** The object store. Objects are named by the digest of their bytes and never change. */
export type ObjectStore = {
	/**
	 * Stores bytes; storing the same bytes again has no effect.
	 *
	 * @throws StepError when the store can't be reached in time.
	 */
	writeObject(digest: string, bytes: Uint8Array): Promise<void>;

	/**
	 * Returns the bytes of an object; undefined if it does not exist.
	 *
	 * @throws StepError when the store can't be reached in time.
	 */
	readObject(digest: string): Promise<Uint8Array | undefined>;
};
