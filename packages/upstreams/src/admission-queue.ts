/** The calls that wait for a slot of an upstream, and their order. */
import {type Admission, type AdmissionRequest} from './admission-request.js';
import {CallerTurns, type QueueShares} from './queue-shares.js';

/** A call that waits for a slot. */
export type QueuedCall = {
	readonly request: AdmissionRequest;

	/** Priority in the queue; 0 and below are the highest. */
	readonly priority: number;

	/** Whether the call was expected to miss its objective when it arrived; it gets only slots that would otherwise be idle. */
	readonly isBestEffort: boolean;

	/** Whether the call is a trial, which runs whatever the mean duration of its route is. */
	readonly isTrial: boolean;
	readonly resolve: (admission: Admission) => void;
};

/** Priority as which the slots of calls above their shares count: calls within their shares don't wait for them. */
const aboveSharePriority = Number.POSITIVE_INFINITY;

/**
 * Orders queued calls: exclusive ones first, then those within their shares, then the highest
 * priority, then calls that can still meet their objective, then turns, then the earliest objective.
 * Shares and turns are those of callers, in round robin, or of organisations.
 */
export class AdmissionQueue {
	readonly #calls = new Set<QueuedCall>();
	#shares: QueueShares = new CallerTurns();

	/** Number of queued calls. */
	get length(): number {
		return this.#calls.size;
	}

	/** Number of queued calls that new calls within their shares may wait for. */
	get withinSharesCount(): number {
		const all = this.listAll();
		this.#shares.prepare(all);
		return all.filter(queued => !this.#shares.isAboveShare(queued)).length;
	}

	/** Number of queued calls that were expected to miss their objective. */
	get bestEffortCount(): number {
		return this.listAll().filter(queued => queued.isBestEffort).length;
	}

	/** Sets how slots are divided; queued calls stay. */
	setShares(shares: QueueShares): void {
		this.#shares = shares;
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
			this.#shares.handleEmpty();
		}

		return isRemoved;
	}

	/** Removes all calls, and returns them in the order of their arrival. */
	removeAll(): QueuedCall[] {
		const all = this.listAll();
		this.#calls.clear();
		this.#shares.handleEmpty();
		return all;
	}

	/** Whether a new call would wait behind all calls within their shares. */
	isNewAboveShare(request: AdmissionRequest): boolean {
		this.#shares.prepare(this.listAll());
		return this.#shares.isNewAboveShare(request);
	}

	/** Records that a call got a slot from the queue, and returns the priority as which its slot counts; call it before `remove`. */
	recordTurn(queued: QueuedCall): number {
		this.#shares.recordTurn(queued.request);
		return this.#shares.isAboveShare(queued) ? aboveSharePriority : queued.priority;
	}

	/** Records that a call starts, from the queue or at once, with its estimated service time in milliseconds. */
	recordStart(request: AdmissionRequest, duration: number): void {
		this.#shares.recordStart(request, duration);
	}

	/**
	 * Lists the calls in the order in which they get slots.
	 *
	 * @param isLate Returns whether a call is expected to miss its objective even if it starts now.
	 */
	listInOrder(isLate: (queued: QueuedCall) => boolean): QueuedCall[] {
		const shares = this.#shares;
		const all = this.listAll();
		shares.prepare(all);
		const keyed = all.map(queued => ({queued, late: Number(isLate(queued)), above: Number(shares.isAboveShare(queued))}));
		return keyed.toSorted((left, right) =>
			Number(right.queued.request.isExclusive ?? false) - Number(left.queued.request.isExclusive ?? false)
			|| left.above - right.above
			|| left.queued.priority - right.queued.priority
			|| left.late - right.late
			|| shares.compareTurns(left.queued, right.queued)
			|| left.queued.request.objective - right.queued.request.objective).map(({queued}) => queued);
	}

	/** Lists the calls that get a slot before a new one. */
	listBefore(other: AdmissionRequest, otherPriority: number): QueuedCall[] {
		const all = this.listAll();
		this.#shares.prepare(all);
		const otherAbove = otherPriority >= 0 && this.#shares.isNewAboveShare(other);
		return all.filter(queued => {
			const {request, priority, isBestEffort} = queued;
			const isAbove = this.#shares.isAboveShare(queued);
			if (request.isExclusive) {
				return true;
			}

			if (isAbove !== otherAbove) {
				return otherAbove;
			}

			return priority < otherPriority || (priority === otherPriority && !isBestEffort && request.objective <= other.objective);
		});
	}

	/** Finds the call that is refused when the queue is full. */
	findRefused(): QueuedCall | undefined {
		return this.#shares.findRefused(this.listAll());
	}
}
