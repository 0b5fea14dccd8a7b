/** Where a node gets the orders and the recorded states of roll-outs from. */
import {type OrderRow} from './rollout-registry.js';
import {type StatusStore} from './status-store.js';

/** Handles order rows that were read; `isComplete` tells whether these are all. */
export type OrdersHandler = (rows: readonly OrderRow[], isComplete: boolean, era: number) => void;

/** The rows of the store that concern roll-outs. The orders are read together with the rules, while this node reads those. */
export type RolloutSource = StatusStore & {
	/** Sets the function that is called with orders that are read. */
	setOrdersHandler(handler: OrdersHandler): void;
};
