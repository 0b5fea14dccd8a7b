/** The version that a node enforces, and the way to later ones. */
import {type Stream} from 'most';
import {StateCell} from '@ebonylead/base/state-cell.js';
import {RouteTable} from './route-table.js';
import {type EncodedSnapshot, type Snapshot} from './rules.js';
import {LazySnapshot, emptySnapshot} from './snapshot-codec.js';
import {applyDelta, computeDelta, type SnapshotDelta} from './snapshot-delta.js';

/** A snapshot in force with its routes made ready. */
export type AppliedSnapshot = {
	readonly encoded: EncodedSnapshot;
	readonly routes: RouteTable;

	/** Time of the swap in milliseconds since the Unix epoch. */
	readonly appliedAt: number;
};

/** Deltas that are kept for nodes that lag. */
const maxKeptDeltas = 64;

/** Largest delta, in rules, that is kept or sent; past it the full snapshot is the shorter way. */
const maxDeltaRules = 1000;

/**
 * Holds the snapshot in force.
 *
 * The version only grows. A swap is one reference assignment, so that no
 * request ever sees a part of a version.
 */
export class AppliedVersion {
	readonly #cell = new StateCell<AppliedSnapshot>({encoded: emptySnapshot, routes: new RouteTable(emptySnapshot.snapshot), appliedAt: 0});
	#deltas: SnapshotDelta[] = [];

	/** The snapshot in force. A request keeps the value it started with. */
	get current(): AppliedSnapshot {
		return this.#cell.value;
	}

	/** The number of the version in force. */
	get version(): number {
		return this.#cell.value.encoded.snapshot.version;
	}

	/** Returns a stream of the versions in force; it starts with the current one. */
	observeChanges(): Stream<AppliedSnapshot> {
		return this.#cell.observeChanges();
	}

	/**
	 * Puts a snapshot in force if it is newer than the one in force.
	 *
	 * @returns Whether the snapshot was put in force.
	 */
	apply(encoded: EncodedSnapshot): boolean {
		const before = this.#cell.value.encoded;
		if (encoded.snapshot.version <= before.snapshot.version) {
			return false;
		}

		const routes = new RouteTable(encoded.snapshot);
		this.#addDelta(computeDelta(before.snapshot, encoded));
		this.#cell.set({encoded, routes, appliedAt: Date.now()});
		return true;
	}

	/**
	 * As `apply`, at a node that takes versions from a shared store: it sends no
	 * bytes and no deltas to others, so that neither is made.
	 */
	applySnapshot(snapshot: Snapshot): boolean {
		if (snapshot.version <= this.version) {
			return false;
		}

		this.#deltas = [];
		this.#cell.set({encoded: new LazySnapshot(snapshot), routes: new RouteTable(snapshot), appliedAt: Date.now()});
		return true;
	}

	/**
	 * Applies a delta if it starts from the version in force.
	 *
	 * @returns Whether the version in force is now at least the delta's target.
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
	 * Applies a chain of deltas in one swap, so that no version between is ever in force.
	 *
	 * @returns Whether the version in force is now at least the last delta's target.
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

	/** Returns the deltas that lead from a version to the one in force, or undefined where they are not kept. */
	findDeltas(fromVersion: number): readonly SnapshotDelta[] | undefined {
		const start = this.#deltas.findIndex(delta => delta.fromVersion === fromVersion);
		return start === -1 ? undefined : this.#deltas.slice(start);
	}

	#addDelta(delta: SnapshotDelta): void {
		const isLarge = delta.changed.length + delta.removed.length > maxDeltaRules;
		this.#deltas = isLarge ? [] : [...this.#deltas.slice(1 - maxKeptDeltas), delta];
	}
}
