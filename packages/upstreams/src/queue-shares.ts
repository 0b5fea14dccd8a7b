/** How the slots of an upstream are divided among those that the queued calls are made for. */
import {type AdmissionRequest} from './admission-request.js';
import {type QueuedCall} from './admission-queue.js';

/** A division of the slots; `CallerTurns` and `OrganisationShares` implement it. */
export type QueueShares = {
	/** Prepares the comparisons of these calls, which are all that are queued. */
	prepare(queued: readonly QueuedCall[]): void;

	/** Whether a call gets only slots that calls within their shares leave. */
	isAboveShare(queued: QueuedCall): boolean;

	/** Whether a new call would be above its share; call `prepare` before. */
	isNewAboveShare(request: AdmissionRequest): boolean;

	/** Compares calls of the same share, priority and chance to meet their objective; the result is below zero if the first one goes first. */
	compareTurns(left: QueuedCall, right: QueuedCall): number;

	/** Finds the call that is refused when the queue is full. */
	findRefused(queued: readonly QueuedCall[]): QueuedCall | undefined;

	/** Records that a call got a slot from the queue. */
	recordTurn(request: AdmissionRequest): void;

	/** Records that a call starts, from the queue or at once. The duration is its estimated service time in milliseconds. */
	recordStart(request: AdmissionRequest, duration: number): void;

	/** Called when no call is queued any more. */
	handleEmpty(): void;
};

/** Callers in round robin, for deployments without organisations. */
export class CallerTurns implements QueueShares {
	/** Value of `#turnCount` when each caller last got a slot from the queue. */
	readonly #lastTurns = new Map<string, number>();
	#turnCount = 0;

	prepare(): void {
		// The turns are up to date at any time.
	}

	isAboveShare(): boolean {
		return false;
	}

	isNewAboveShare(): boolean {
		return false;
	}

	compareTurns(left: QueuedCall, right: QueuedCall): number {
		return (this.#lastTurns.get(left.request.caller) ?? 0) - (this.#lastTurns.get(right.request.caller) ?? 0);
	}

	/** Finds the oldest call of the caller that has the most queued calls of the lowest priority. */
	findRefused(queued: readonly QueuedCall[]): QueuedCall | undefined {
		const lowestPriority = Math.max(...queued.map(({priority}) => priority));
		const candidates = queued.filter(({priority}) => priority === lowestPriority);
		const queuedByCaller = new Map<string, number>();
		for (const {request} of candidates) {
			queuedByCaller.set(request.caller, (queuedByCaller.get(request.caller) ?? 0) + 1);
		}

		const longestQueue = Math.max(...queuedByCaller.values());
		return candidates.find(({request}) => queuedByCaller.get(request.caller) === longestQueue);
	}

	recordTurn({caller}: AdmissionRequest): void {
		this.#turnCount++;
		this.#lastTurns.set(caller, this.#turnCount);
	}

	recordStart(): void {
		// Only calls from the queue count as turns.
	}

	handleEmpty(): void {
		this.#lastTurns.clear();
	}
}
