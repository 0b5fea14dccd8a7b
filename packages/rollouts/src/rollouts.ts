/** Roll-outs of a new version of a service: what an operator orders, and what the nodes decide and record. */

/** Bounds of roll-outs, from the settings. */
export type RolloutSettings = {
	/** Share of the requests for a service that a bad version may receive. */
	readonly exposeShare: number;

	/** Number of requests that a bad version may receive in addition to the share. */
	readonly exposeSlack: number;

	/** Time in milliseconds after its 50th bad response from which on a bad version must receive no request. */
	readonly rollbackTime: number;
};

/** Position of a row in the history of the store; it orders the rows of one key. */
export type RowPosition = {readonly era: number; readonly revision: number};

/** An operator's order to replace the upstreams of a service by those of another version. Its position identifies it: a service may get a second order later. */
export type RolloutOrder = RowPosition & {
	readonly service: string;

	/** The new version. */
	readonly to: string;

	/** Time in milliseconds within which the roll-out must end. */
	readonly duration: number;
};

/** States of a roll-out. The last two are final. */
export const rolloutStates = {
	/** Both versions are in use; the new one is exposed to a share of the calls. */
	running: 'running',

	/** The new version was judged good; the old upstreams are being closed. */
	shifting: 'shifting',

	/** Only the new version is in use; the old upstreams may end. */
	completed: 'completed',

	/** The new version is out of use. */
	rolledBack: 'rolled-back',
} as const;

/** One of `rolloutStates`. */
export type RolloutState = typeof rolloutStates[keyof typeof rolloutStates];

/** What the nodes have recorded of an order. */
export type RolloutStatus = {
	/** Position of the order that it belongs to. */
	readonly order: RowPosition;
	readonly to: string;
	readonly state: RolloutState;

	/** Time of day in milliseconds at which the order was first seen, by the clock of the node that wrote the first record. */
	readonly startedAt: number;

	/** Why it is in this state, for operators. */
	readonly reason: string;
};

/** A status with the position of its row. */
export type StatusRow = {
	readonly service: string;
	readonly position: RowPosition;
	readonly status: RolloutStatus;
};

/** Returns whether a state never changes. */
export function isFinalState(state: RolloutState): boolean {
	return state === rolloutStates.completed || state === rolloutStates.rolledBack;
}

/** Compares two positions; the result is positive if the left one is later. */
export function comparePositions(left: RowPosition, right: RowPosition): number {
	return left.era - right.era || left.revision - right.revision;
}

/** Returns whether a status belongs to an order. A store that was restored from a copy gives a row of the copy with its revision in a later era. */
export function isStatusOf(status: RolloutStatus, order: RolloutOrder): boolean {
	return status.to === order.to && status.order.revision === order.revision;
}

/** Returns whether the status of an order may replace a recorded one: final ones stay, and an earlier order never replaces a later one. */
export function canReplaceStatus(recorded: RolloutStatus | undefined, order: RolloutOrder, state: RolloutState): boolean {
	if (recorded === undefined) {
		return true;
	}

	if (!isStatusOf(recorded, order)) {
		return comparePositions(order, recorded.order) > 0;
	}

	switch (recorded.state) {
		case rolloutStates.running: {
			return state !== rolloutStates.running;
		}

		case rolloutStates.shifting: {
			return state === rolloutStates.completed;
		}

		case rolloutStates.completed:
		case rolloutStates.rolledBack: {
			return false;
		}
	}
}
