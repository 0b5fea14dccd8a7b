/** Seeds: the first peers of a starting node, in one row for each data centre. */
import {type TableService} from './store.js';

/** Address at which a node listens for its peers. */
export type Seed = {
	readonly id: string;
	readonly host: string;
	readonly peerPort: number;
};

/** Maximum number of seeds in the row of a data centre. */
export const maxSeeds = 8;

/** Reads and writes the rows of seeds. */
export class SeedStore {
	readonly #table: TableService;
	readonly #prefix: string;

	constructor(deployment: string, table: TableService) {
		this.#table = table;
		this.#prefix = `${deployment}/seeds/`;
	}

	/** Reads the seeds of all data centres. */
	async readAll(): Promise<Seed[]> {
		const rows = await this.#table.listRows(this.#prefix);
		return rows.flatMap(row => JSON.parse(row.value) as Seed[]);
	}

	/**
	 * Writes the seeds of a data centre, unless the row already contains them.
	 *
	 * A conflict is not retried: another node has just written the row, and the
	 * caller compares again in its next round.
	 *
	 * @returns Whether the row was written.
	 */
	async write(dataCentre: string, seeds: readonly Seed[]): Promise<boolean> {
		const key = this.#prefix + dataCentre;
		const row = await this.#table.readRow(key);
		const value = JSON.stringify(seeds.slice(0, maxSeeds));
		if (row?.value === value) {
			return false;
		}

		const outcome = await this.#table.runTransaction({
			conditions: [{key, revision: row?.revision ?? 0}],
			writes: [{key, value}],
		});
		return outcome === 'committed';
	}

	/** Adds a seed to the row of a data centre unless the row is full; replaces a seed with the same id or address. Called by a starting node. */
	async add(dataCentre: string, seed: Seed): Promise<void> {
		const key = this.#prefix + dataCentre;
		const row = await this.#table.readRow(key);
		const current = row === undefined ? [] : JSON.parse(row.value) as Seed[];
		const others = current.filter(other => other.id !== seed.id && !(other.host === seed.host && other.peerPort === seed.peerPort));
		if (current.some(other => other.id === seed.id && other.host === seed.host && other.peerPort === seed.peerPort) || others.length >= maxSeeds) {
			return;
		}

		await this.#table.runTransaction({
			conditions: [{key, revision: row?.revision ?? 0}],
			writes: [{key, value: JSON.stringify([...others, seed])}],
		});
	}
}
