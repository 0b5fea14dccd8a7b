/** Records what callers and upstreams of a soak see, and finds the promises of the mesh that it breaks. */

/** A request as its caller sent it. */
export type SentRequest = {
	readonly id: string;
	readonly isIdempotent: boolean;

	/** Time for which the caller waits, in milliseconds. */
	readonly deadline: number;

	/** VM and process that the caller sent it to. */
	readonly process: string;
};

/** How a request ended for its caller. */
export type RequestEnd
	= | 'answered' // By an upstream, completely.
		| 'refused' // With a status that promises that no upstream runs it.
		| 'failed' // With another status of the node's own.
		| 'closed' // Without a complete response.
		| 'left'; // By its caller, which closed the connection.

/** Times between which something disturbed the fleet. */
type Disturbance = {readonly from: number; to: number};

type RequestRecord = SentRequest & {
	readonly sentAt: number;
	runCount: number;
	end?: RequestEnd;

	/** Time at which its caller closed the connection. */
	leftAt?: number;

	/** Whether a fault was put into a response to it, so that it may end without that response. */
	isHit?: boolean;
	endedAt?: number;
};

/** The crashes that one request caused, and the arrivals after which it should have been refused. */
type CrashingRequest = {
	crashCount: number;
	lastAllowedAt: number;
};

/** What a process showed of its version. */
type VersionEvidence = {
	/** Highest version that it is known to have had, and when that was known. */
	version: number;
	knownAt: number;
};

/** The limit that an upstream names, and the requests that it got from processes that had passed it on. */
type LimitRecord = {
	readonly rate: number;
	readonly toldAt: Map<string, number>;
	arrivals: number[];
};

/** Length of the windows in which the requests of a limit are counted, and the requests in a window besides those that it allows. */
const limitWindowMs = 4000;
const limitSlack = 5;

/** Time after a process passed a limit or a leave on from which it binds the process. */
const noticeMs = 500;

/** Number of upstreams that may run a request, by the routes of a soak. */
const maxAttempts = 2;

/** Number of upstreams that a request may crash, and the time after which every node must refuse it. */
const maxCrashes = 3;
const crashSpreadMs = 3000;

/** Time after its caller has left within which a request may reach an upstream and be at work there, and the number of requests that may be later. */
const departureMs = 500;
const departureSlack = 3;

/** Time after a fault of a process for which it excuses requests that end. */
const faultExcuseMs = 3000;

/** Time within which a version must become active on every node. */
const applyTimeoutMs = 2500;

/** Time after which a request that was not run may no longer end without a response. */
const lossSlackMs = 200;

/** Time for requests that were on their way to an upstream when its leave was acknowledged. */
const drainSlackMs = 500;

/** Share of its deadline after which a request may be ended although an upstream is at work. */
const deadlineShare = 0.7;

/** Records the requests of a soak, and lists the promises that were broken. */
export class SoakLedger {
	/** Descriptions of the promises that were broken. */
	readonly violations: string[] = [];

	/** Number of requests by their end. */
	readonly counts: Record<RequestEnd | 'sent', number> = {
		sent: 0, answered: 0, refused: 0, failed: 0, closed: 0, left: 0,
	};

	/** Number of faults that were put into responses, by what was done. */
	readonly injections = new Map<string, number>();

	/** Number of requests that ended with a failure, a closed connection or a refusal, by its description without numbers. */
	readonly failures = new Map<string, number>();
	readonly #now: () => number;
	readonly #requests = new Map<string, RequestRecord>();
	readonly #faults: Disturbance[] = [];
	readonly #storeFaults: Disturbance[] = [];
	readonly #leftUpstreams = new Map<string, number>();
	readonly #limits = new Map<string, LimitRecord>();

	/** Times at which processes passed on that an upstream leaves, by upstream and process. */
	readonly #leavesTold = new Map<string, number>();
	readonly #crashing = new Map<string, CrashingRequest>();
	#lateDepartures = 0;
	readonly #versions = new Map<string, VersionEvidence>();
	readonly #writtenAt = new Map<number, number>();

	/** @param now Returns monotonic time in milliseconds. */
	constructor(now: () => number) {
		this.#now = now;
	}

	recordSent(request: SentRequest): void {
		this.counts.sent++;
		this.#requests.set(request.id, {...request, sentAt: this.#now(), runCount: 0});
	}

	/** Records that an upstream begins to name a limit in requests per second, or with `undefined` that it names none any more. */
	recordLimit(upstream: string, rate: number | undefined): void {
		if (rate === undefined) {
			this.#limits.delete(upstream);
		} else {
			this.#limits.set(upstream, {rate, toldAt: new Map(), arrivals: []});
		}
	}

	/** Records that a process passed a response on in which an upstream names a limit. */
	recordLimitTold(upstream: string, process: string): void {
		const limit = this.#limits.get(upstream);
		if (limit && !limit.toldAt.has(process)) {
			limit.toldAt.set(process, this.#now());
		}
	}

	/** Records that a process passed a response on in which an upstream says that it leaves. */
	recordLeaveTold(upstream: string, process: string): void {
		const key = `${upstream} ${process}`;
		this.#leavesTold.set(key, this.#leavesTold.get(key) ?? this.#now());
	}

	/** Records that the caller of a request closed its connection. */
	recordLeft(id: string): void {
		const request = this.#requests.get(id)!;
		request.end = 'left';
		request.leftAt = this.#now();
		this.counts.left++;
	}

	/** Records that an upstream was at work on a request until now. */
	recordWork(id: string, upstream: string): void {
		const request = this.#requests.get(id);
		if (request?.isIdempotent) {
			this.#checkDeparture(request, `is at work on ${upstream}`);
		}
	}

	/** Records that a request crashed an upstream; `key` is the same for equal requests. */
	recordCrash(key: string): void {
		const crashing = this.#crashing.get(key) ?? {crashCount: 0, lastAllowedAt: Number.POSITIVE_INFINITY};
		this.#crashing.set(key, crashing);
		crashing.crashCount++;
		if (crashing.crashCount === maxCrashes) {
			crashing.lastAllowedAt = this.#now() + crashSpreadMs;
		}
	}

	/** Records that a request that crashes upstreams reached one. */
	recordCrashingArrival(key: string, upstream: string): void {
		const crashing = this.#crashing.get(key);
		if (crashing === undefined || this.#now() < crashing.lastAllowedAt) {
			return;
		}

		this.recordViolation('crashes', `${key} reaches ${upstream} ${Math.round(this.#now() - crashing.lastAllowedAt)} ms after every node had to refuse it`);
	}

	/** Records that a request reached an upstream, which may refuse it. */
	recordArrival(id: string, upstream: string): void {
		const request = this.#requests.get(id);
		if (request === undefined) {
			return;
		}

		this.#checkDeparture(request, `reaches ${upstream}`);
		const now = this.#now();
		const leaveToldAt = this.#leavesTold.get(`${upstream} ${request.process}`);
		if (leaveToldAt !== undefined && request.sentAt > leaveToldAt + noticeMs) {
			this.recordViolation('leaves', `${id} reaches ${upstream} ${Math.round(now - leaveToldAt)} ms after ${request.process} passed on that it leaves`);
		}

		const limit = this.#limits.get(upstream);
		const toldAt = limit?.toldAt.get(request.process);
		if (limit === undefined || toldAt === undefined || request.sentAt < toldAt + noticeMs) {
			return;
		}

		limit.arrivals = [...limit.arrivals.filter(arrival => now - arrival < limitWindowMs), now];
		const allowed = (limit.rate * limitWindowMs / 1000) + limitSlack;
		if (limit.arrivals.length > allowed) {
			this.recordViolation('limits', `${upstream} gets ${limit.arrivals.length} requests in ${limitWindowMs} ms; ${allowed} are allowed`);
		}
	}

	/** Records that an upstream began to run a request. */
	recordRun(id: string, upstream: string): void {
		const request = this.#requests.get(id);
		if (request === undefined) {
			this.recordViolation('unasked', `${upstream} runs ${id}, which no caller sent`);
			return;
		}

		request.runCount++;
		if (!request.isIdempotent && request.runCount > 1) {
			this.recordViolation('at most once', `${id} runs ${request.runCount} times, now on ${upstream}`);
		}

		if (request.runCount > maxAttempts) {
			this.recordViolation('attempts', `${id} runs on ${request.runCount} upstreams, now on ${upstream}`);
		}

		if (!request.isIdempotent && request.end === 'refused') {
			this.recordViolation('true refusals', `${id} runs on ${upstream} after it was refused`);
		}

		const leftAt = this.#leftUpstreams.get(upstream);
		if (leftAt !== undefined && this.#now() > leftAt + drainSlackMs) {
			this.recordViolation('drains', `${id} reaches ${upstream} ${Math.round(this.#now() - leftAt)} ms after its leave was acknowledged`);
		}
	}

	recordEnd(id: string, end: RequestEnd, detail: string): void {
		const request = this.#requests.get(id)!;
		const duration = this.#now() - request.sentAt;
		request.end = end;
		request.endedAt = this.#now();
		this.counts[end]++;
		this.#countFailure(request, end, detail);
		if (end === 'refused' && !request.isIdempotent && request.runCount > 0) {
			this.recordViolation('true refusals', `${id} was refused, but has run: ${detail}`);
		}

		const isLost = end === 'closed' && (request.runCount > 0 || duration > lossSlackMs);
		const isBrokenOff = end === 'failed' && request.runCount > 0 && duration < request.deadline * deadlineShare;
		if ((isLost || isBrokenOff) && !request.isHit && !this.#isExcused(this.#faults, request.sentAt)) {
			this.recordViolation('planned work', `${id} at ${request.process} ended after ${Math.round(duration)} ms with ${request.runCount} runs: ${end}, ${detail}`);
		}
	}

	/** Records that the caller gave a request up before it was sent. */
	recordUnsent(id: string): void {
		this.counts.sent--;
		this.#requests.delete(id);
	}

	/** Records that a leaving upstream got its acknowledgement. */
	recordLeave(upstream: string): void {
		this.#leftUpstreams.set(upstream, this.#now());
	}

	/** Records that the operator wrote a version, unless it was written before. */
	recordVersion(version: number): void {
		if (!this.#writtenAt.has(version)) {
			this.#writtenAt.set(version, this.#now());
		}
	}

	/** Records that the response to a request showed that a process had at least or at most a version. */
	recordVersionSeen(process: string, id: string, {atLeast, atMost}: {atLeast?: number; atMost?: number}): void {
		const {sentAt} = this.#requests.get(id)!;
		const known = this.#versions.get(process);
		if (atMost !== undefined && known && sentAt > known.knownAt && atMost < known.version) {
			this.recordViolation('versions', `${process} went back to ${atMost} or less from ${known.version}`);
		}

		const newer = atMost === undefined ? undefined : this.#writtenAt.get(atMost + 1);
		if (newer !== undefined && sentAt > newer + applyTimeoutMs && !this.#isExcused([...this.#faults, ...this.#storeFaults], sentAt - applyTimeoutMs)) {
			this.recordViolation('versions', `${process} has ${atMost} or less ${Math.round(sentAt - newer)} ms after ${atMost! + 1} was written`);
		}

		if (atLeast !== undefined && atLeast > (known?.version ?? 0)) {
			this.#versions.set(process, {version: atLeast, knownAt: this.#now()});
		}
	}

	/** Records that a fault was put into the response to a request, which may end by it. */
	recordInjection(what: string, id: string): void {
		this.injections.set(what, (this.injections.get(what) ?? 0) + 1);
		const request = this.#requests.get(id);
		if (request !== undefined) {
			request.isHit = true;
		}
	}

	/**
	 * Records that a process that was told to stop did not stop cleanly.
	 *
	 * A request whose response was hit by a fault may still run in its next attempt when the time to stop is over. Each other
	 * request that the stop ends is checked for itself.
	 *
	 * @param duration Milliseconds from the signal to the end of the process.
	 */
	recordStop(process: string, detail: string, duration: number): void {
		const since = this.#now() - duration;
		const hasEndedHit = [...this.#requests.values()].some(({isHit, end, endedAt, process: name}) => isHit && end === 'failed' && name === process && (endedAt ?? 0) >= since);
		if (!hasEndedHit && !this.#isExcused(this.#faults, this.#now())) {
			this.recordViolation('planned work', `${process} did not stop cleanly: ${detail}`);
		}
	}

	/** Records the begin of a fault; the returned function records its end. */
	recordFault(isOfStore: boolean): () => void {
		const fault = {from: this.#now(), to: Number.POSITIVE_INFINITY};
		(isOfStore ? this.#storeFaults : this.#faults).push(fault);
		return () => {
			fault.to = this.#now();
		};
	}

	recordViolation(promise: string, detail: string): void {
		this.violations.push(`${Math.round(this.#now())} ms, ${promise}: ${detail}`);
	}

	/** Checks that nothing goes on for a caller that has left. */
	#checkDeparture({id, leftAt, sentAt}: RequestRecord, description: string): void {
		if (leftAt === undefined || this.#now() <= leftAt + departureMs || this.#isExcused(this.#faults, sentAt)) {
			return;
		}

		this.#lateDepartures++;
		if (this.#lateDepartures > departureSlack) {
			this.recordViolation('departures', `${id} ${description} ${Math.round(this.#now() - leftAt)} ms after its caller has left`);
		}
	}

	#countFailure({runCount}: RequestRecord, end: RequestEnd, detail: string): void {
		if (end !== 'answered') {
			const failure = `${end} after ${runCount} runs: ${detail.replaceAll(/\d+(?:\.\d+)*/gv, 'N')}`;
			this.failures.set(failure, (this.failures.get(failure) ?? 0) + 1);
		}
	}

	/** Returns whether a fault lasted, or had ended shortly before, at some time since the given one. */
	#isExcused(faults: readonly Disturbance[], since: number): boolean {
		return faults.some(fault => fault.to + faultExcuseMs >= since && fault.from <= this.#now());
	}
}
