/** Decides which calls run now, which wait, and which are refused, at the node beside an upstream. */
import {type Clock} from '@ebonylead/base/base.js';
import {type Cancellation} from './cancellation.js';
import {outcomes, type Refusal} from './upstreams.js';

/** A call that asks for a slot. */
export type AdmissionRequest = {
	/** Who calls; callers take turns in the queue. */
	readonly caller: string;

	/** Monotonic time in milliseconds at which the call must be over. */
	readonly deadline: number;

	/** Monotonic time in milliseconds up to which an answer is worth most. */
	readonly objective: number;

	/** Rank of the call; 0 goes first. */
	readonly rank: number;

	/** Key of the rule that matched. */
	readonly route: string;

	/** Most calls of the route at once, or undefined. */
	readonly routeSlots: number | undefined;

	/** Whether no other call may run beside it: it may have killed an upstream. */
	readonly isAlone?: boolean;

	/** Ends the wait when the caller leaves. */
	readonly cancellation: Cancellation;
};

/** A slot, or why there is none. */
export type Admission
	= | {readonly kind: 'admitted'; readonly release: () => void}
		| {readonly kind: 'refused'; readonly refusal: Refusal};

type Waiting = {
	readonly request: AdmissionRequest;
	readonly resolve: (admission: Admission) => void;
};

const statusUnavailable = 503;

/** Load that an upstream reports while it is leaving. */
const closedLoad = 1000;

/** Calls that may wait for each slot. */
const queuePerSlot = 4;

/** Least weight of the newest sample in the mean time of a call; the first samples weigh more. */
const minMeanWeight = 0.1;

/** A call that waits is refused this long before its deadline, in milliseconds, so that the refusal arrives in time. */
const minRefusalMargin = 20;

/** Time between two looks at the deadlines of the calls that wait, in milliseconds. */
const sweepPeriod = 10;

/** Mean time of a call in milliseconds before the first one ended. */
const firstMean = 5;

/** Shortest advice to come again, in milliseconds. */
const minRetryAfter = 50;

/**
 * Holds the slots of one upstream.
 *
 * Calls that find no slot wait in a short queue, one line for each caller, and
 * the callers take turns. A call that could not end before its deadline is
 * refused at once, and when the queue is full the longest line gives up its
 * oldest call: that one has the least time left.
 */
export class AdmissionControl {
	readonly #clock: Clock;
	readonly #lines = new Map<string, Waiting[]>();
	readonly #routeCounts = new Map<string, number>();
	#slots: number;
	#running = 0;
	#waiting = 0;
	#mean = firstMean;
	#endedCount = 0;
	#isClosed = false;
	#isAloneRunning = false;
	#aloneWaiting = 0;
	#isSweeping = false;

	constructor(clock: Clock, slots: number) {
		this.#clock = clock;
		this.#slots = slots;
	}

	/** Calls that run or wait, for each slot; very high where no call is taken, so that entries choose others at once. */
	get load(): number {
		if (this.#isClosed) {
			return closedLoad;
		}

		return this.#slots === 0 ? 1 : (this.#running + this.#waiting) / this.#slots;
	}

	/** Count of calls that run. */
	get running(): number {
		return this.#running;
	}

	/** Count of calls that wait. */
	get waiting(): number {
		return this.#waiting;
	}

	/** Changes the count of slots; calls that run are left alone. */
	setSlots(slots: number): void {
		this.#slots = slots;
		this.#startWaiting();
	}

	/** Refuses all new calls and those that wait; calls that run are left alone. */
	close(): void {
		this.#isClosed = true;
		for (const waiting of [...this.#lines.values()].flat()) {
			this.#refuse(waiting, 'the upstream is leaving');
		}
	}

	/** Takes calls again after `close`. */
	open(): void {
		this.#isClosed = false;
	}

	/** Asks for a slot. Resolves when the call may run, or at once where it is refused. */
	async enter(request: AdmissionRequest): Promise<Admission> {
		if (this.#isClosed) {
			return this.#buildRefusal('the upstream is leaving');
		}

		if (this.#waiting === 0 && this.#hasSlot(request)) {
			return this.#admit(request);
		}

		if (this.#estimateWait() + this.#mean > request.deadline - this.#clock.now()) {
			return this.#buildRefusal('no slot comes free before the deadline');
		}

		return this.#wait(request);
	}

	#hasSlot(request: AdmissionRequest): boolean {
		if (this.#isAloneRunning || (request.isAlone && this.#running > 0)) {
			return false;
		}

		if (!request.isAlone && this.#aloneWaiting > 0) {
			return false;
		}

		const routeCount = this.#routeCounts.get(request.route) ?? 0;
		return this.#running < this.#slots && routeCount < (request.routeSlots ?? this.#slots);
	}

	#admit(request: AdmissionRequest): Admission {
		const startedAt = this.#clock.now();
		let isReleased = false;
		this.#running++;
		this.#isAloneRunning = request.isAlone ?? false;
		this.#routeCounts.set(request.route, (this.#routeCounts.get(request.route) ?? 0) + 1);
		const release = () => {
			if (isReleased) {
				return;
			}

			isReleased = true;
			this.#release(request, this.#clock.now() - startedAt);
		};

		return {kind: 'admitted', release};
	}

	#release(request: AdmissionRequest, duration: number): void {
		this.#running--;
		this.#isAloneRunning = false;
		this.#endedCount++;
		this.#mean += (duration - this.#mean) * Math.max(minMeanWeight, 1 / this.#endedCount);
		const left = (this.#routeCounts.get(request.route) ?? 1) - 1;
		if (left === 0) {
			this.#routeCounts.delete(request.route);
		} else {
			this.#routeCounts.set(request.route, left);
		}

		this.#startWaiting();
	}

	async #wait(request: AdmissionRequest): Promise<Admission> {
		if (this.#waiting >= this.#slots * queuePerSlot) {
			this.#dropOldest();
		}

		return new Promise(resolve => {
			const waiting: Waiting = {request, resolve};
			const line = this.#lines.get(request.caller);
			if (line) {
				line.push(waiting);
			} else {
				this.#lines.set(request.caller, [waiting]);
			}

			this.#waiting++;
			this.#aloneWaiting += request.isAlone ? 1 : 0;
			void this.#sweepWhileWaiting();
			request.cancellation.addListener(() => {
				this.#refuse(waiting, 'the caller left or the deadline passed while the call waited');
			});
		});
	}

	/** One timer for all calls that wait: a timer for each would cost more than the wait itself. */
	async #sweepWhileWaiting(): Promise<void> {
		if (this.#isSweeping) {
			return;
		}

		this.#isSweeping = true;
		while (this.#waiting > 0) {
			await this.#clock.sleep(sweepPeriod);
			const limit = this.#clock.now() + Math.max(minRefusalMargin, this.#mean);
			for (const waiting of [...this.#lines.values()].flat()) {
				if (waiting.request.deadline < limit) {
					this.#refuse(waiting, 'the deadline came too close while the call waited');
				}
			}
		}

		this.#isSweeping = false;
	}

	#dropOldest(): void {
		let longest: Waiting[] = [];
		for (const line of this.#lines.values()) {
			if (line.length > longest.length) {
				longest = line;
			}
		}

		const oldest = longest[0];
		if (oldest) {
			this.#refuse(oldest, 'the queue is full');
		}
	}

	#refuse(waiting: Waiting, reason: string): void {
		if (this.#remove(waiting)) {
			waiting.resolve(this.#buildRefusal(reason));
			// A call that waited to run alone may have held the others back.
			this.#startWaiting();
		}
	}

	#remove(waiting: Waiting): boolean {
		const line = this.#lines.get(waiting.request.caller);
		const index = line?.indexOf(waiting) ?? -1;
		if (line === undefined || index === -1) {
			return false;
		}

		line.splice(index, 1);
		this.#waiting--;
		this.#aloneWaiting -= waiting.request.isAlone ? 1 : 0;
		if (line.length === 0) {
			this.#lines.delete(waiting.request.caller);
		}

		return true;
	}

	/** Gives free slots to the lines in turn; a line that got one goes to the back. */
	#startWaiting(): void {
		for (const [caller, line] of this.#lines) {
			if (this.#running >= this.#slots) {
				return;
			}

			const next = line[0];
			if (next === undefined || !this.#hasSlot(next.request)) {
				continue;
			}

			this.#lines.delete(caller);
			this.#lines.set(caller, line);
			this.#remove(next);
			if (this.#mean > next.request.deadline - this.#clock.now()) {
				next.resolve(this.#buildRefusal('the deadline came too close while the call waited'));
			} else {
				next.resolve(this.#admit(next.request));
			}
		}

		if (this.#running < this.#slots && [...this.#lines.values()].some(line => this.#hasSlot(line[0]!.request))) {
			this.#startWaiting();
		}
	}

	#estimateWait(): number {
		return this.#mean * (this.#waiting + 1) / Math.max(1, this.#slots);
	}

	#buildRefusal(reason: string): Admission {
		const retryAfter = Math.max(minRetryAfter, Math.ceil(this.#estimateWait()));
		return {
			kind: 'refused',
			refusal: {
				status: statusUnavailable, outcome: outcomes.notRun, reason, retryAfter,
			},
		};
	}
}
