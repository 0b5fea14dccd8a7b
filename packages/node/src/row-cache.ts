/** Rows of a shared table as this node knows them, for the nodes that follow it. */
import {type RowPage, type SharedRow} from '@ebonylead/store/row-store.js';
import {decodeCompressed, encodeCompressed} from './compressed-json.js';

/** Position in the changes of a table. */
export type RowCursor = {readonly era: number; readonly revision: number};

/** Rows on the wire between nodes; without content they only tell the position. */
export type RowUpdate = RowCursor & {
	/** Whether these are all rows, in place of the changed ones. */
	readonly isComplete?: boolean;

	/** Rows in JSON, compressed and in base64. */
	readonly gzip?: string;
};

/** Keeps the rows, removed ones included, and since which revision it has all changes. */
export class RowCache {
	readonly #rows = new Map<string, SharedRow>();
	#cursor: RowCursor | undefined;
	#completeSince = 0;
	#changedAt = 0;

	/** Encoded updates by the revision from which they start; each is shared by all followers. */
	readonly #updates = new Map<number, RowUpdate>();
	readonly #listeners = new Set<() => void>();

	/** Position up to which the rows are known; undefined before the table was read. */
	get cursor(): RowCursor | undefined {
		return this.#cursor;
	}

	/** Revision of the last change of a row. */
	get changedAt(): number {
		return this.#changedAt;
	}

	/** Adds the rows that changed after a known position, or replaces all rows. A page of changes of another era is left out, as the table has to be read again. */
	apply({rows, revision, era}: RowPage, isComplete: boolean): void {
		if (era < (this.#cursor?.era ?? 0) || (!isComplete && era !== this.#cursor?.era)) {
			return;
		}

		if (isComplete) {
			this.#rows.clear();
			this.#completeSince = revision;
		}

		for (const row of rows) {
			if (row.revision >= (this.#rows.get(row.key)?.revision ?? 0)) {
				this.#rows.set(row.key, row);
			}
		}

		const isNewEra = era !== this.#cursor?.era;
		this.#cursor = {era, revision: isNewEra ? revision : Math.max(revision, this.#cursor!.revision)};
		if (isComplete || rows.length > 0) {
			this.#changedAt = this.#cursor.revision;
			this.#updates.clear();
			for (const listener of this.#listeners) {
				listener();
			}
		}
	}

	/** Lists all rows that exist. */
	listRows(): SharedRow[] {
		return [...this.#rows.values()].filter(row => row.value !== undefined);
	}

	/** Lists the rows that changed after a revision, in the order of their changes; undefined if it does not have all of them. */
	listChanges(after: number): SharedRow[] | undefined {
		return after < this.#completeSince
			? undefined
			: [...this.#rows.values()].filter(row => row.revision > after).toSorted((left, right) => left.revision - right.revision);
	}

	/** Adds a function that is called after each change of rows. */
	addListener(listener: () => void): void {
		this.#listeners.add(listener);
	}

	/** Removes a function that was added. */
	removeListener(listener: () => void): void {
		this.#listeners.delete(listener);
	}

	/** Encodes what a node at a position lacks; undefined before the table was read. */
	encodeUpdate(from: RowCursor | undefined): RowUpdate | undefined {
		if (this.#cursor === undefined) {
			return undefined;
		}

		const after = from?.era === this.#cursor.era ? from.revision : -1;
		if (after >= this.#changedAt) {
			return this.#cursor;
		}

		let update = this.#updates.get(after);
		if (update === undefined) {
			const changes = this.listChanges(after);
			const gzip = encodeCompressed(changes ?? this.listRows());
			update = {...this.#cursor, gzip, ...(changes === undefined && {isComplete: true})};
			this.#updates.set(after, update);
		}

		return update;
	}

	/** Applies what another node sent. */
	applyUpdate({era, revision, isComplete = false, gzip}: RowUpdate): void {
		const rows = gzip === undefined ? [] : decodeCompressed(gzip) as SharedRow[];
		this.apply({rows, revision, era}, isComplete);
	}
}
