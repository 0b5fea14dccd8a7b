/** The orders and the recorded states that a node knows. */
import {type Clock} from '@ebonylead/base/base.js';
import {
	comparePositions, isFinalState, isStatusOf, rolloutStates, type RolloutOrder, type RolloutState, type RowPosition, type StatusRow,
} from './rollouts.js';
import {type RolloutKnowledge} from './version-filter.js';

/** An order row as it was read; the order is undefined if the row was removed, or can't be read. */
export type OrderRow = {readonly service: string; readonly position: RowPosition; readonly order: RolloutOrder | undefined};

/** A roll-out as a node knows it. */
export type Rollout = {
	readonly order: RolloutOrder;

	/** Monotonic time in milliseconds at which a node first saw the order, as far as known here. */
	readonly seenAt: number;

	/** Earlier such time by the recorded start and the time of day, which no other node is told: the clocks of VMs differ. */
	readonly estimatedSeenAt: number | undefined;

	/** Recorded state; undefined if none is known. */
	readonly status: StatusRow | undefined;

	/** State that the nodes act by; undefined while it is not known whether one was recorded. */
	readonly state: RolloutState | undefined;

	/** Whether the recorded state was read or written since the store was last restored from a copy, which may lack it. */
	readonly isConfirmed: boolean;
};

/** What a node tells another one. */
export type RolloutUpdate = {
	readonly orders: ReadonlyArray<OrderRow & {readonly age: number}>;
	readonly statuses: readonly StatusRow[];

	/** Whether the sender has read the recorded states. */
	readonly hasStatuses: boolean;
};

/** Dependencies of `RolloutRegistry`. */
export type RolloutRegistryDependencies = {
	readonly clock: Clock;

	/** Returns whether what this node has read or was sent was confirmed by the store a short time ago. */
	readonly isFresh: () => boolean;

	/** Called after each change. */
	readonly onChange?: () => void;
};

/** Maximum number of services of which roll-outs are kept. */
const maxServices = 256;

/** Time in milliseconds after a completion for which the older upstreams are still left out: until those that could not be reached have ended. */
const settleMs = 5000;

/** Maximum number of versions that are remembered as rolled back. */
const maxRolledBack = 256;

/** Difference in milliseconds from which on another node knows the age of an order better than this one. */
const minAgeDifferenceMs = 1000;

/** An order row with the monotonic time at which a node first saw it, and whether that may be later than its writing, as this process has started since. */
type KnownOrder = OrderRow & {readonly seenAt: number; readonly mayBeOlder: boolean};

/** Keeps the latest order and state of each service, from the store and from other nodes in whatever order they arrive. */
export class RolloutRegistry implements RolloutKnowledge {
	readonly #dependencies: RolloutRegistryDependencies;
	readonly #orders = new Map<string, KnownOrder>();
	readonly #statuses = new Map<string, StatusRow>();

	/** Roll-outs as built from both; dropped with each change of a service. */
	readonly #rollouts = new Map<string, Rollout>();
	readonly #rolledBack = new Set<string>();

	/** Monotonic times in milliseconds at which this node learned of the completions, by service. */
	readonly #completedAt = new Map<string, number>();
	#isLoaded = false;
	#hasStatuses = false;
	#revision = 0;

	constructor(dependencies: RolloutRegistryDependencies) {
		this.#dependencies = dependencies;
	}

	/** Counts the changes. */
	get revision(): number {
		return this.#revision;
	}

	/** Whether the orders were read, or sent by a node that had read them. */
	get isLoaded(): boolean {
		return this.#isLoaded;
	}

	/**
	 * Whether no order can be missing whose upstreams are ready already: these are
	 * started 1.5 s after the order, and a confirmation of the store is fresh for 1.2 s.
	 */
	get isCurrent(): boolean {
		return this.#isLoaded && this.#dependencies.isFresh();
	}

	/** Whether an order has no final state, as far as known, or one that the store may have lost. */
	get hasOpenRollout(): boolean {
		return this.listRollouts().some(({state, isConfirmed}) => state === undefined || !isFinalState(state) || !isConfirmed);
	}

	/** Lists the roll-outs, the ended ones too. */
	listRollouts(): Rollout[] {
		return [...this.#orders.keys()].flatMap(service => this.findRollout(service) ?? []);
	}

	/** As `findRollout`, but without a roll-out that was completed some time ago: later versions without an order are used without limits. */
	findActiveRollout(service: string): Rollout | undefined {
		const rollout = this.findRollout(service);
		const completedAt = this.#completedAt.get(service);
		const isSettled = rollout?.state === rolloutStates.completed && completedAt !== undefined && this.#dependencies.clock.now() - completedAt > settleMs;
		return isSettled ? undefined : rollout;
	}

	findRollout(service: string): Rollout | undefined {
		const known = this.#rollouts.get(service);
		if (known) {
			return known;
		}

		const row = this.#orders.get(service);
		if (row?.order === undefined) {
			return undefined;
		}

		const status = this.#statuses.get(service);
		const own = status && isStatusOf(status.status, row.order) ? status : undefined;
		const rollout = {
			order: row.order,
			seenAt: row.seenAt,
			estimatedSeenAt: own && row.mayBeOlder ? this.#estimateSeenAt(row.order, own) : undefined,
			status: own,
			state: own?.status.state ?? (this.#hasStatuses ? rolloutStates.running : undefined),
			isConfirmed: own === undefined || own.position.era >= row.order.era,
		};
		this.#rollouts.set(service, rollout);
		return rollout;
	}

	isRolledBack(service: string, version: string): boolean {
		return this.#rolledBack.has(buildVersionKey(service, version));
	}

	/** Returns the time in milliseconds since an order. */
	getAge({seenAt, estimatedSeenAt = seenAt}: Rollout): number {
		return this.#dependencies.clock.now() - Math.min(seenAt, estimatedSeenAt);
	}

	/** Returns the time in milliseconds since a node first saw an order, as other nodes are told. */
	getSeenAge({seenAt}: Rollout): number {
		// Rounded down, as a rounded age that goes back and forth would grow.
		return Math.max(0, Math.floor(this.#dependencies.clock.now() - seenAt));
	}

	/**
	 * Applies order rows that were read.
	 *
	 * @param isComplete Whether these are all; rows that are missing were removed, unless the store was restored from a copy of before them.
	 */
	applyOrders(rows: readonly OrderRow[], isComplete: boolean, era: number): void {
		const keys = new Set(rows.map(row => row.service));
		const removed = isComplete
			? [...this.#orders.values()].filter(({service, order, position}) => order !== undefined && !keys.has(service) && position.era === era).map(row => ({...row, order: undefined}))
			: [];
		const isFirst = isComplete && !this.#isLoaded;
		this.#setLoaded(isComplete);
		this.#mergeOrders([...rows, ...removed].map(row => ({...row, age: 0})), isFirst);
	}

	/** Applies the rows of states that were read or written; `isLoaded` tells whether all were read. */
	applyStatuses(rows: readonly StatusRow[], isLoaded: boolean): void {
		let isChanged = isLoaded && !this.#hasStatuses;
		this.#hasStatuses ||= isLoaded;
		for (const row of rows) {
			isChanged = this.#mergeStatus(row) || isChanged;
		}

		if (isChanged) {
			this.#handleChange();
		}
	}

	/** Applies what another node sent. */
	applyUpdate({orders, statuses, hasStatuses}: RolloutUpdate): void {
		this.#setLoaded(true);
		this.#mergeOrders(orders, false);
		this.applyStatuses(statuses, hasStatuses);
	}

	/** Builds what other nodes are told; undefined before the orders are known. */
	buildUpdate(): RolloutUpdate | undefined {
		const now = this.#dependencies.clock.now();
		return this.#isLoaded
			? {
				orders: [...this.#orders.values()].map(({seenAt, mayBeOlder: _mayBeOlder, ...row}) => ({...row, age: Math.max(0, Math.floor(now - seenAt))})),
				statuses: [...this.#statuses.values()],
				hasStatuses: this.#hasStatuses,
			}
			: undefined;
	}

	/** Corrects the age of an order, as another node has seen it earlier. */
	recordAge(service: string, position: RowPosition, age: number): void {
		const row = this.#orders.get(service);
		const seenAt = this.#dependencies.clock.now() - age;
		if (row?.order?.revision === position.revision && seenAt < row.seenAt) {
			this.#orders.set(service, {...row, seenAt, mayBeOlder: row.mayBeOlder && row.seenAt - seenAt < minAgeDifferenceMs});
			this.#rollouts.delete(service);
		}
	}

	#setLoaded(isLoaded: boolean): void {
		if (isLoaded && !this.#isLoaded) {
			this.#isLoaded = true;
			this.#handleChange();
		}
	}

	#mergeOrders(rows: ReadonlyArray<OrderRow & {readonly age: number}>, isFirst: boolean): void {
		let isChanged = false;
		for (const row of rows) {
			isChanged = this.#mergeOrder(row, isFirst) || isChanged;
			this.recordAge(row.service, row.position, row.age);
		}

		if (isChanged) {
			this.#handleChange();
		}
	}

	#mergeOrder({age, ...row}: OrderRow & {readonly age: number}, isFirst: boolean): boolean {
		const known = this.#orders.get(row.service);
		if (known === undefined && this.#orders.size >= maxServices) {
			return false;
		}

		const order = known ? comparePositions(row.position, known.position) : 1;
		// A removal has the position of the row that was removed.
		const isRemoval = order === 0 && known!.order !== undefined && row.order === undefined;
		const isSame = known?.order !== undefined && row.order?.revision === known.order.revision && row.order.to === known.order.to;
		if (order < 0 || (order === 0 && !isRemoval)) {
			return false;
		}

		const {seenAt, mayBeOlder} = isSame ? known : {seenAt: this.#dependencies.clock.now() - age, mayBeOlder: isFirst};
		this.#orders.set(row.service, {...row, seenAt, mayBeOlder});
		this.#rollouts.delete(row.service);
		if (row.order) {
			this.#rolledBack.delete(buildVersionKey(row.service, row.order.to));
			this.#recordRolledBack(row.service);
		}

		return true;
	}

	/** A recorded state is replaced by a later row, but a final one only by that of a later order: a store that was restored from a copy may have the row of before. */
	#mergeStatus(row: StatusRow): boolean {
		const known = this.#statuses.get(row.service);
		if (known === undefined && this.#statuses.size >= maxServices) {
			return false;
		}

		if (known) {
			const isSameOrder = known.status.order.revision === row.status.order.revision && known.status.to === row.status.to;
			const isStale = isSameOrder && isFinalState(known.status.state) && !isFinalState(row.status.state);
			if (isStale || comparePositions(row.position, known.position) <= 0) {
				return false;
			}
		}

		this.#statuses.set(row.service, row);
		if (row.status.state === rolloutStates.completed) {
			this.#completedAt.set(row.service, this.#dependencies.clock.now());
		}

		this.#rollouts.delete(row.service);
		this.#recordRolledBack(row.service);
		return true;
	}

	#recordRolledBack(service: string): void {
		const row = this.#statuses.get(service);
		const order = this.#orders.get(service)?.order;
		const isNamedAgain = row && order?.to === row.status.to && !isStatusOf(row.status, order);
		if (row?.status.state === rolloutStates.rolledBack && !isNamedAgain && this.#rolledBack.size < maxRolledBack) {
			this.#rolledBack.add(buildVersionKey(service, row.status.to));
		}
	}

	/** Estimates when an order was first seen, by the time of day; a wrong clock makes it at most as old as its duration. */
	#estimateSeenAt({duration}: RolloutOrder, {status: {startedAt}}: StatusRow): number {
		const {clock} = this.#dependencies;
		return clock.now() - Math.max(0, Math.min(duration, clock.wallTime() - startedAt));
	}

	#handleChange(): void {
		this.#revision++;
		this.#rollouts.clear();
		this.#dependencies.onChange?.();
	}
}

function buildVersionKey(service: string, version: string): string {
	return `${service} ${version}`;
}
