/** Holds the active version of the rules on a node, and the deltas between recent versions. */
import {type Stream} from 'most';
import {StateCell} from '@ebonylead/base/state-cell.js';
import {OrganisationTable} from '@ebonylead/organisations/organisations.js';
import {RouteTable} from './route-table.js';
import {type EncodedSnapshot, type Snapshot} from './rules.js';
import {LazySnapshot, emptySnapshot} from './snapshot-codec.js';
import {applyDelta, computeDelta, type SnapshotDelta} from './snapshot-delta.js';

/** The active snapshot with its route table. */
export type ActiveSnapshot = {
	readonly encoded: EncodedSnapshot;
	readonly routeTable: RouteTable;

	/** Organisations of the version; undefined if the deployment has none. */
	readonly organisations: OrganisationTable | undefined;

	/** Time at which it became active, in milliseconds since the Unix epoch. */
	readonly activatedAt: number;
};

/** Maximum number of deltas that are kept for nodes that lag behind. */
const maxKeptDeltas = 64;

/** Maximum number of rules in a delta that is kept; a node that lags behind gets the full snapshot instead of a larger one, as that is cheaper. */
const maxDeltaRules = 1000;

/**
 * Holds the active version.
 *
 * The version only increases. A swap is a single reference assignment, so that
 * no request ever sees a partly applied version.
 */
export class ActiveVersion {
	readonly #cell = new StateCell<ActiveSnapshot>({
		encoded: emptySnapshot, routeTable: new RouteTable(emptySnapshot.snapshot), organisations: undefined, activatedAt: 0,
	});

	#deltas: SnapshotDelta[] = [];

	/** The active snapshot. A request reads it once at its start, so that a swap does not affect it. */
	get current(): ActiveSnapshot {
		return this.#cell.value;
	}

	/** The number of the active version. */
	get version(): number {
		return this.#cell.value.encoded.snapshot.version;
	}

	/** Returns a stream of active snapshots that starts with the current one. */
	observeChanges(): Stream<ActiveSnapshot> {
		return this.#cell.observeChanges();
	}

	/**
	 * Makes a snapshot active if it is newer than the active one.
	 *
	 * @returns Whether the snapshot became active.
	 */
	apply(encoded: EncodedSnapshot): boolean {
		const before = this.#cell.value.encoded;
		if (encoded.snapshot.version <= before.snapshot.version) {
			return false;
		}

		const routeTable = new RouteTable(encoded.snapshot, this.#cell.value.routeTable);
		this.#addDelta(computeDelta(before.snapshot, encoded));
		this.#set(encoded, routeTable);
		return true;
	}

	/**
	 * Makes a snapshot active if it is newer than the active one, without building
	 * a delta or encoding the snapshot. For nodes that read versions from a shared
	 * store, as they send neither deltas nor snapshots to other nodes.
	 *
	 * @param routeTable The routes of the snapshot, if they are built already.
	 * @returns Whether the snapshot became active.
	 */
	applySnapshot(snapshot: Snapshot, routeTable?: RouteTable): boolean {
		if (snapshot.version <= this.version) {
			return false;
		}

		this.#deltas = [];
		this.#set(new LazySnapshot(snapshot), routeTable ?? new RouteTable(snapshot, this.#cell.value.routeTable));
		return true;
	}

	/**
	 * Applies a delta if it starts from the active version.
	 *
	 * @returns Whether the active version is now at least the delta's `toVersion`.
	 */
	applyDelta(delta: SnapshotDelta): boolean {
		if (delta.toVersion <= this.version) {
			return true;
		}

		return applyDelta(this.#cell.value.encoded.snapshot, delta)
			.map(encoded => this.apply(encoded))
			.orDefault(false);
	}

	/**
	 * Applies a chain of deltas in one swap, so that no intermediate version is ever active.
	 *
	 * @returns Whether the active version is now at least the last delta's `toVersion`.
	 */
	applyDeltas(deltas: readonly SnapshotDelta[]): boolean {
		let {encoded} = this.#cell.value;
		for (const delta of deltas) {
			if (delta.toVersion > encoded.snapshot.version) {
				const next = applyDelta(encoded.snapshot, delta);
				if (next.isLeft()) {
					return false;
				}

				encoded = next.unsafeCoerce();
			}
		}

		this.apply(encoded);
		return true;
	}

	/** Finds the deltas that lead from a version to the active one; undefined if they are not kept. */
	findDeltas(fromVersion: number): readonly SnapshotDelta[] | undefined {
		const start = this.#deltas.findIndex(delta => delta.fromVersion === fromVersion);
		return start === -1 ? undefined : this.#deltas.slice(start);
	}

	#set(encoded: EncodedSnapshot, routeTable: RouteTable): void {
		const {organisations} = encoded.snapshot;
		const {organisations: table} = this.#cell.value;
		const isUnchanged = table?.listAll() === organisations;
		this.#cell.set({
			encoded, routeTable, organisations: isUnchanged ? table : organisations && new OrganisationTable(organisations), activatedAt: Date.now(),
		});
	}

	#addDelta(delta: SnapshotDelta): void {
		const isLarge = delta.changed.length + delta.removed.length > maxDeltaRules;
		this.#deltas = isLarge ? [] : [...this.#deltas.slice(1 - maxKeptDeltas), delta];
	}
}
