/** The calls that wait for a slot of an upstream, and their order. */
import {type Admission, type AdmissionRequest} from './admission.js';

/** A call that waits for a slot. */
export type QueuedCall = {
	readonly request: AdmissionRequest;

	/** Priority in the queue; 0 and below are the highest. */
	readonly priority: number;

	/** Whether the call was expected to miss its objective when it arrived; it gets only slots that would otherwise be idle. */
	readonly isBestEffort: boolean;
	readonly resolve: (admission: Admission) => void;
};

/**
 * Orders queued calls: exclusive ones first, then the highest priority, then calls that can still
 * meet their objective, then callers in round robin, then the earliest objective.
 */
export class AdmissionQueue {
	readonly #calls = new Set<QueuedCall>();

	/** Value of `#turnCount` when each caller last got a slot from the queue. */
	readonly #lastTurns = new Map<string, number>();
	#turnCount = 0;

	/** Number of queued calls. */
	get length(): number {
		return this.#calls.size;
	}

	/** Number of queued calls that were expected to miss their objective. */
	get bestEffortCount(): number {
		return this.listAll().filter(queued => queued.isBestEffort).length;
	}

	/** Lists the queued calls in the order of their arrival. */
	listAll(): QueuedCall[] {
		return [...this.#calls];
	}

	/** Finds a queued call that must run while no other call does. */
	findExclusive(): QueuedCall | undefined {
		return this.listAll().find(({request}) => request.isExclusive);
	}

	/** Adds a call. */
	add(queued: QueuedCall): void {
		this.#calls.add(queued);
	}

	/** Removes a call, and returns whether it was queued. */
	remove(queued: QueuedCall): boolean {
		const isRemoved = this.#calls.delete(queued);
		if (this.#calls.size === 0) {
			this.#lastTurns.clear();
		}

		return isRemoved;
	}

	/** Removes all calls, and returns them in the order of their arrival. */
	removeAll(): QueuedCall[] {
		const all = this.listAll();
		this.#calls.clear();
		this.#lastTurns.clear();
		return all;
	}

	/** Records that the caller of a call got a slot from the queue; call it before `remove`. */
	recordTurn({request}: QueuedCall): void {
		this.#turnCount++;
		this.#lastTurns.set(request.caller, this.#turnCount);
	}

	/**
	 * Lists the calls in the order in which they get slots.
	 *
	 * @param isLate Returns whether a call is expected to miss its objective even if it starts now.
	 */
	listInOrder(isLate: (queued: QueuedCall) => boolean): QueuedCall[] {
		const keyed = this.listAll().map(queued => ({queued, late: Number(isLate(queued)), turn: this.#lastTurns.get(queued.request.caller) ?? 0}));
		return keyed.toSorted((left, right) =>
			Number(right.queued.request.isExclusive ?? false) - Number(left.queued.request.isExclusive ?? false)
			|| left.queued.priority - right.queued.priority
			|| left.late - right.late
			|| left.turn - right.turn
			|| left.queued.request.objective - right.queued.request.objective).map(({queued}) => queued);
	}

	/** Lists the calls that get a slot before a new one. */
	listBefore(other: AdmissionRequest, otherPriority: number): QueuedCall[] {
		return this.listAll().filter(({request, priority, isBestEffort}) =>
			Boolean(request.isExclusive) || priority < otherPriority || (priority === otherPriority && !isBestEffort && request.objective <= other.objective));
	}

	/** Finds the oldest call of the caller that has the most queued calls of the lowest priority. */
	findLowestPriority(): QueuedCall | undefined {
		const lowestPriority = Math.max(...this.listAll().map(({priority}) => priority));
		const candidates = this.listAll().filter(({priority}) => priority === lowestPriority);
		const queuedByCaller = new Map<string, number>();
		for (const {request} of candidates) {
			queuedByCaller.set(request.caller, (queuedByCaller.get(request.caller) ?? 0) + 1);
		}

		const longestQueue = Math.max(...queuedByCaller.values());
		return candidates.find(({request}) => queuedByCaller.get(request.caller) === longestQueue);
	}
}
