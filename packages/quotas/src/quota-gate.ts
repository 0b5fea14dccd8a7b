/** Admits or refuses the requests of organisations on one entry node. */
import {type Clock, type Random} from '@ebonylead/base/base.js';
import {ArrivalRate} from './arrival-rate.js';
import {IsolatedCredit} from './isolated-credit.js';
import {
	millisecondsPerSecond, minReportIntervalMs, reportIntervalMs, type Quota, type QuotaLimit, type QuotaReply, type QuotaReport,
} from './quotas.js';

/** Dependencies of `QuotaGate`. */
export type QuotaGateDependencies = {
	readonly node: string;

	/** Identifies this process. */
	readonly instance: number;
	readonly clock: Clock;
	readonly random: Random;

	/** Returns the number of members that have not left. */
	readonly getMemberCount: () => number;

	/** Called when the time of the next report moves forward. */
	readonly onDue?: () => void;
};

/** The decision on a request of an organisation. */
export type QuotaDecision
	= | {readonly isAdmitted: true}
		| {readonly isAdmitted: false; readonly share: number; readonly retryAfter: number};

/** Counts and limit of one organisation on this node. */
type Account = {
	quota: Quota;
	admitted: number;
	arrived: number;
	acknowledgedAdmitted: number;
	acknowledgedArrived: number;

	/** Counts in the last report, as its acknowledgement confirms these. */
	sentAdmitted: number;
	sentArrived: number;
	readonly arrivals: ArrivalRate;
	readonly isolatedCredit: IsolatedCredit;
	limit: QuotaLimit | undefined;

	/** Part of an admission that earlier arrivals have added up to; it starts at random, so that nodes with few arrivals admit their share on average. */
	fraction: number;
};

/** Time in milliseconds without a home after which a node limits itself. */
export const isolationMs = 1500;

/** Number of failed reports in a row after which a node may count as isolated: a process that was paused has one failure at most. */
const minIsolationFailures = 2;

/** Interval in milliseconds between two reports while the shares of organisations with arrivals change. */
const changingIntervalMs = 250;

/** Relative change of a share from which on it counts as changing. */
const shareChange = 0.1;

/** Retry delay in milliseconds on a node that limits itself. */
const isolatedRetryAfterMs = 1000;
const admitted: QuotaDecision = {isAdmitted: true};

/** Counts requests by organisation, and admits them without a message for each. */
export class QuotaGate {
	readonly #dependencies: QuotaGateDependencies;
	readonly #accounts = new Map<string, Account>();
	#reportNumber = 0;
	#reportedAt: number;

	/** When the last acknowledged report was built. */
	#countedFrom: number;
	#acknowledgedNumber = 0;
	#acknowledgedAt: number;
	#failures = 0;
	#isUrgent = false;
	#isChanging = false;

	constructor(dependencies: QuotaGateDependencies) {
		this.#dependencies = dependencies;
		this.#reportedAt = dependencies.clock.now() - reportIntervalMs;
		this.#acknowledgedAt = dependencies.clock.now();
		this.#countedFrom = dependencies.clock.now();
	}

	/** Whether a home has responded to this process, or the node is isolated and limits itself. */
	get isKnown(): boolean {
		return this.#acknowledgedNumber > 0 || this.isIsolated;
	}

	/** Whether no home could be reached for some time. */
	get isIsolated(): boolean {
		return this.#failures >= minIsolationFailures && this.#dependencies.clock.now() - this.#acknowledgedAt >= isolationMs;
	}

	/** Monotonic time in milliseconds at which the next report is due. */
	get dueAt(): number {
		if (this.#isUrgent) {
			return this.#reportedAt + minReportIntervalMs;
		}

		return this.#reportedAt + (this.#isChanging ? changingIntervalMs : reportIntervalMs);
	}

	/** Sets the quotas; organisations without a rate have none. */
	setQuotas(quotas: readonly Quota[]): void {
		const names = new Set(quotas.map(({name}) => name));
		for (const name of this.#accounts.keys()) {
			if (!names.has(name)) {
				this.#accounts.delete(name);
			}
		}

		for (const quota of quotas) {
			const account = this.#accounts.get(quota.name);
			if (account) {
				account.quota = quota;
			} else {
				this.#accounts.set(quota.name, this.#createAccount(quota));
			}
		}
	}

	/** Decides on a request of an organisation. */
	admit(organisation: string): QuotaDecision {
		const account = this.#accounts.get(organisation);
		if (account === undefined) {
			return admitted;
		}

		account.arrived++;
		if (account.arrivals.recordArrival()) {
			this.setDue();
		}

		const refusal = this.#findRefusal(account);
		if (refusal === undefined) {
			account.admitted++;
			return admitted;
		}

		return refusal;
	}

	/** Gives back what an admitted request took from the quota, as it was not run. */
	release(organisation: string): void {
		const account = this.#accounts.get(organisation);
		if (account) {
			account.admitted--;
		}
	}

	/** Lists the limits in force here. */
	listLimits(): QuotaLimit[] {
		return [...this.#accounts.values()].flatMap(({limit}) => limit ?? []);
	}

	/** Builds the next report. */
	buildReport(): QuotaReport {
		const now = this.#dependencies.clock.now();
		const elapsed = now - this.#countedFrom;
		const {node, instance} = this.#dependencies;
		this.#reportNumber++;
		this.#reportedAt = now;
		this.#isUrgent = false;
		const usages = [];
		for (const [organisation, account] of this.#accounts) {
			account.arrivals.recordReport();
			account.sentAdmitted = account.admitted;
			account.sentArrived = account.arrived;
			if (account.admitted !== account.acknowledgedAdmitted || account.arrived !== account.acknowledgedArrived) {
				usages.push({
					organisation, admitted: account.admitted, arrived: account.arrived, acknowledgedAdmitted: account.acknowledgedAdmitted, acknowledgedArrived: account.acknowledgedArrived,
				});
			}
		}

		return {
			node, instance, number: this.#reportNumber, elapsed, usages, limited: this.listLimits().map(({organisation}) => organisation),
		};
	}

	/** Applies the reply to a report of this process. A reply to an earlier report than the last one acknowledges nothing. */
	handleReply(number: number, reply: QuotaReply): void {
		if (number <= this.#acknowledgedNumber) {
			return;
		}

		this.#acknowledgedNumber = number;
		this.#acknowledgedAt = this.#dependencies.clock.now();
		this.#failures = 0;
		if (number === this.#reportNumber) {
			this.#countedFrom = this.#reportedAt;
			for (const account of this.#accounts.values()) {
				account.acknowledgedAdmitted = account.sentAdmitted;
				account.acknowledgedArrived = account.sentArrived;
			}
		}

		this.#applyLimits(reply);
	}

	/** Applies limits that the home sent on its own account, and reports soon if this node has requests of these organisations. */
	handleUpdate(reply: QuotaReply): void {
		this.#applyLimits(reply);
		if (reply.limits.some(({organisation}) => this.#hasNews(this.#accounts.get(organisation)))) {
			this.setDue();
		}
	}

	/** Makes the next report due as soon as possible. */
	setDue(): void {
		if (!this.#isUrgent) {
			this.#isUrgent = true;
			this.#dependencies.onDue?.();
		}
	}

	/** Records that a report got no reply; the next one is due soon, to another home. */
	recordFailure(): void {
		this.#failures++;
		this.setDue();
	}

	#hasNews(account: Account | undefined): boolean {
		return account !== undefined && account.arrived !== account.acknowledgedArrived;
	}

	#createAccount(quota: Quota): Account {
		const {clock, random, getMemberCount} = this.#dependencies;
		return {
			quota,
			admitted: 0,
			arrived: 0,
			acknowledgedAdmitted: 0,
			acknowledgedArrived: 0,
			sentAdmitted: 0,
			sentArrived: 0,
			arrivals: new ArrivalRate(clock, quota.rate / Math.max(1, getMemberCount()) / millisecondsPerSecond),
			isolatedCredit: new IsolatedCredit(clock, random),
			limit: undefined,
			fraction: random.next(),
		};
	}

	#findRefusal(account: Account): QuotaDecision | undefined {
		if (this.isIsolated) {
			const {rate, burst} = account.quota;
			const part = 1 / Math.max(1, this.#dependencies.getMemberCount());
			return account.isolatedCredit.admit(rate * part, burst * part) ? undefined : {isAdmitted: false, share: part, retryAfter: isolatedRetryAfterMs};
		}

		if (account.limit === undefined) {
			return undefined;
		}

		account.fraction += account.limit.share;
		if (account.fraction >= 1) {
			account.fraction--;
			return undefined;
		}

		return {isAdmitted: false, share: account.limit.share, retryAfter: account.limit.retryAfter};
	}

	#applyLimits({isComplete, limits}: QuotaReply): void {
		const limitsByName = new Map(limits.map(limit => [limit.organisation, limit]));
		this.#isChanging = false;
		for (const [name, account] of this.#accounts) {
			const next = isComplete ? limitsByName.get(name) : chooseStricter(account.limit, limitsByName.get(name));
			const change = Math.abs((next?.share ?? 1) - (account.limit?.share ?? 1));
			this.#isChanging ||= change > shareChange * (next?.share ?? 1) && this.#hasNews(account);
			account.limit = next;
		}
	}
}

function chooseStricter(left: QuotaLimit | undefined, right: QuotaLimit | undefined): QuotaLimit | undefined {
	return left && right ? (left.share <= right.share ? left : right) : left ?? right;
}
