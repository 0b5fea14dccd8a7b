/** Fair queueing over organisations. */
import {type AdmissionRequest} from './admission-request.js';
import {type QueuedCall} from './admission-queue.js';
import {CallerTurns, type QueueShares} from './queue-shares.js';

/** Calls by which an organisation may be ahead of the others before its calls wait behind theirs: the calls of a small one at one upstream are rare, but sometimes come two at a time. */
const toleratedCalls = 1.5;

/** Factor by which the virtual time is faster than the service of all organisations by weight: usual demand varies, and must not count as above the share. */
const headroom = 1.2;

/** Number of starts at the upstream after which an organisation without one no longer counts as active: some ten seconds. */
const activeStarts = 500;

/**
 * Start-time fair queueing, with weights, over organisations.
 *
 * Each organisation has a tag: the service time that it got while calls were
 * queued, divided by its weight. The virtual time advances with each start by
 * the service time divided by the weights of all active organisations, and a
 * tag that it has overtaken counts as equal, so that capacity that others left
 * unused is not held against an organisation. Calls of an organisation whose
 * tag is ahead of the virtual time by more than some calls get only slots that
 * the others leave; among these others, priorities come first, then the tags.
 *
 * The virtual time is not the tag of the call in service, as in the usual form:
 * a call of low priority with an early tag would hold it back while calls of
 * higher priority are served, and all of these would then be above their shares.
 */
export class OrganisationShares implements QueueShares {
	readonly #getWeight: (organisation: string) => number;

	/** Turns of the callers without an organisation. */
	readonly #callerTurns = new CallerTurns();

	/** Tag of each organisation after its last start. */
	readonly #tags = new Map<string, number>();
	#virtualTime = 0;

	/** Number of starts, and its value when each active organisation last started a call or queued its first, the oldest first. */
	#startCount = 0;
	readonly #lastStarts = new Map<string, number>();

	/** Sum of the weights of the active organisations. */
	#activeWeight = 0;

	/** Mean service time of recent calls in milliseconds. */
	#meanDuration = 1;

	/** Tag with which each queued call starts, and the number of queued calls by organisation. */
	#callTags = new Map<QueuedCall, number>();
	#queuedCounts = new Map<string, number>();

	/** @param getWeight Returns the weight of an organisation, above 0. */
	constructor(getWeight: (organisation: string) => number) {
		this.#getWeight = getWeight;
	}

	prepare(queued: readonly QueuedCall[]): void {
		this.#callTags = new Map();
		this.#queuedCounts = new Map();
		// Within an organisation, the call that goes first has the least tag.
		const ordered = queued.toSorted((left, right) => left.priority - right.priority || left.request.objective - right.request.objective);
		for (const call of ordered) {
			this.#callTags.set(call, this.#computeNewTag(call.request.organisation));
			const {organisation} = call.request;
			if (organisation !== undefined) {
				if (!this.#lastStarts.has(organisation)) {
					this.#activate(organisation);
				}

				this.#queuedCounts.set(organisation, (this.#queuedCounts.get(organisation) ?? 0) + 1);
			}
		}
	}

	isAboveShare(queued: QueuedCall): boolean {
		return queued.priority >= 0 && this.#computeExcess(queued.request.organisation, this.#callTags.get(queued) ?? this.#virtualTime) > 0;
	}

	isNewAboveShare({organisation}: AdmissionRequest): boolean {
		return this.#computeExcess(organisation, this.#computeNewTag(organisation)) > 0;
	}

	compareTurns(left: QueuedCall, right: QueuedCall): number {
		const difference = (this.#callTags.get(left) ?? 0) - (this.#callTags.get(right) ?? 0);
		const isTie = difference === 0 && left.request.organisation === undefined && right.request.organisation === undefined;
		return isTie ? this.#callerTurns.compareTurns(left, right) : difference;
	}

	/** Finds the oldest call of the lowest priority of the organisation that is furthest above its share. */
	findRefused(queued: readonly QueuedCall[]): QueuedCall | undefined {
		this.prepare(queued);
		const excesses = new Map<string, number>();
		for (const call of queued) {
			const {organisation} = call.request;
			if (organisation !== undefined && call.priority >= 0) {
				excesses.set(organisation, Math.max(excesses.get(organisation) ?? 0, this.#computeExcess(organisation, this.#callTags.get(call)!)));
			}
		}

		const highest = Math.max(0, ...excesses.values());
		const candidates = highest > 0 ? queued.filter(({request, priority}) => priority >= 0 && request.organisation !== undefined && excesses.get(request.organisation) === highest) : queued;
		const lowestPriority = Math.max(...candidates.map(({priority}) => priority));
		return candidates.find(({priority}) => priority === lowestPriority);
	}

	recordTurn(request: AdmissionRequest): void {
		this.#callerTurns.recordTurn(request);
	}

	recordStart({organisation}: AdmissionRequest, duration: number): void {
		if (organisation === undefined) {
			return;
		}

		this.#startCount++;
		this.#activate(organisation);
		this.#meanDuration = duration;
		if (this.#queuedCounts.size > 0) {
			this.#tags.set(organisation, this.#getTag(organisation) + (duration / this.#getWeight(organisation)));
		}

		this.#virtualTime += headroom * duration / this.#activeWeight;
	}

	handleEmpty(): void {
		this.#callerTurns.handleEmpty();
		this.#queuedCounts.clear();
		this.#callTags.clear();
	}

	/** Marks an organisation as active, and forgets those that were not for long. */
	#activate(organisation: string): void {
		if (!this.#lastStarts.delete(organisation)) {
			this.#activeWeight += this.#getWeight(organisation);
		}

		this.#lastStarts.set(organisation, this.#startCount);
		for (const [name, start] of this.#lastStarts) {
			if (this.#startCount - start <= activeStarts) {
				return;
			}

			this.#lastStarts.delete(name);
			this.#tags.delete(name);
			this.#activeWeight -= this.#getWeight(name);
		}
	}

	#getTag(organisation: string): number {
		return Math.max(this.#virtualTime, this.#tags.get(organisation) ?? 0);
	}

	/** Computes the tag with which a further call of an organisation would start, behind its queued ones. */
	#computeNewTag(organisation: string | undefined): number {
		if (organisation === undefined) {
			return this.#virtualTime;
		}

		return this.#getTag(organisation) + ((this.#queuedCounts.get(organisation) ?? 0) * this.#meanDuration / this.#getWeight(organisation));
	}

	/** Computes how far a tag is ahead of what is tolerated; at most 0 for a call within its share. */
	#computeExcess(organisation: string | undefined, tag: number): number {
		return organisation === undefined ? 0 : tag - this.#virtualTime - (toleratedCalls * this.#meanDuration / this.#getWeight(organisation));
	}
}
