/** Decides, on the quota home, which organisations are limited over all nodes, and to which share of their arrivals. */
import {type Clock} from '@ebonylead/base/base.js';
import {QuotaBucket} from './quota-bucket.js';
import {
	completeAfterMs, type Quota, type QuotaBounds, type QuotaLimit, type QuotaReply, type QuotaReport,
} from './quotas.js';
import {ReporterUsage} from './reporter-usage.js';

/** Dependencies of `QuotaLedger`. */
export type QuotaLedgerDependencies = {
	readonly clock: Clock;
	readonly bounds: QuotaBounds;

	/** Returns the number of members that have not left. */
	readonly getMemberCount: () => number;
};

/** Limits that the home sends on its own account, and the nodes that they go to. */
export type QuotaUpdate = {
	readonly nodes: readonly string[];
	readonly reply: QuotaReply;
};

/** Time in milliseconds without a report after which a node no longer counts as a reporter. */
export const reporterExpiryMs = 2000;

/** Interval in milliseconds between two searches for expired reporters. */
const expiryIntervalMs = 250;

/** Minimum interval in milliseconds between two updates for the same organisation. */
const updateIntervalMs = 1000;

/** Digits of a share in a reply; with three, demand may be exceeded by 1 in 1000 at a share of 0.5. */
const shareDigits = 4;

/** Counts the admissions that nodes report, and limits organisations that exceed their quotas. */
export class QuotaLedger {
	readonly #dependencies: QuotaLedgerDependencies;
	readonly #buckets = new Map<string, QuotaBucket>();
	readonly #reporters = new Map<string, ReporterUsage>();

	/** When each organisation was last sent in an update. */
	readonly #updatedAt = new Map<string, number>();
	readonly #newlyLimited = new Set<string>();
	#startedAt = Number.NEGATIVE_INFINITY;
	#expiredAt = Number.NEGATIVE_INFINITY;

	constructor(dependencies: QuotaLedgerDependencies) {
		this.#dependencies = dependencies;
	}

	/** Number of nodes that have reported lately. */
	get reporterCount(): number {
		return this.#reporters.size;
	}

	/** Sets the quotas. The tokens of an organisation whose quota changed stay, up to its new burst. */
	setQuotas(quotas: readonly Quota[]): void {
		const {clock, bounds} = this.#dependencies;
		const names = new Set(quotas.map(({name}) => name));
		for (const name of this.#buckets.keys()) {
			if (!names.has(name)) {
				this.#buckets.delete(name);
				this.#updatedAt.delete(name);
				this.#newlyLimited.delete(name);
			}
		}

		for (const quota of quotas) {
			const bucket = this.#buckets.get(quota.name);
			if (bucket) {
				bucket.setQuota(quota);
			} else {
				this.#buckets.set(quota.name, new QuotaBucket(clock, bounds, quota));
			}
		}
	}

	/** Counts what a node reports, and returns the limits in force. */
	receive(report: QuotaReport): QuotaReply {
		this.#removeExpired();
		const reporter = this.#findReporter(report);
		const part = this.#computePart();
		for (const bucket of this.#buckets.values()) {
			bucket.refill(part);
		}

		if (!this.#isComplete) {
			for (const organisation of report.limited) {
				this.#buckets.get(organisation)?.keepLimit();
			}
		}

		for (const {organisation, admitted, rateChange} of reporter?.merge(report) ?? []) {
			const bucket = this.#buckets.get(organisation);
			if (bucket?.record(admitted, rateChange, this.#isComplete)) {
				this.#newlyLimited.add(organisation);
			}
		}

		return this.#buildReply();
	}

	/**
	 * Returns the limits for all reporters but the one that is replied to, if organisations became limited. Nodes without requests of these organisations
	 * get them too: in a large fleet, the next requests of a small organisation come to nodes that had none.
	 */
	takeUpdate(except: string): QuotaUpdate | undefined {
		const now = this.#dependencies.clock.now();
		const organisations = [...this.#newlyLimited].filter(name => now - (this.#updatedAt.get(name) ?? Number.NEGATIVE_INFINITY) >= updateIntervalMs);
		this.#newlyLimited.clear();
		if (organisations.length === 0) {
			return undefined;
		}

		for (const name of organisations) {
			this.#updatedAt.set(name, now);
		}

		const nodes = [...this.#reporters.keys()].filter(node => node !== except);
		return {nodes, reply: this.#buildReply()};
	}

	/** Lists the limits in force. */
	listLimits(): QuotaLimit[] {
		const limits: QuotaLimit[] = [];
		for (const [organisation, bucket] of this.#buckets) {
			const share = bucket.computeShare();
			if (share < 1) {
				limits.push({organisation, share: Number(share.toFixed(shareDigits)), retryAfter: bucket.computeRetryAfter()});
			}
		}

		return limits;
	}

	#buildReply(): QuotaReply {
		return {isComplete: this.#isComplete, limits: this.listLimits()};
	}

	get #isComplete(): boolean {
		return this.#dependencies.clock.now() - this.#startedAt >= completeAfterMs;
	}

	/** Returns the part of each quota that this home may allocate: the other nodes may have another home, or limit themselves. */
	#computePart(): number {
		return this.#isComplete ? Math.min(1, this.#reporters.size / Math.max(1, this.#dependencies.getMemberCount())) : 1;
	}

	/** Finds the counts of the reporting process, or starts them; undefined if the report is late. */
	#findReporter(report: QuotaReport): ReporterUsage | undefined {
		if (this.#reporters.size === 0) {
			this.#startedAt = this.#dependencies.clock.now();
			for (const bucket of this.#buckets.values()) {
				bucket.reset();
			}
		}

		const reporter = this.#reporters.get(report.node);
		if (reporter?.isLate(report)) {
			return undefined;
		}

		if (reporter?.instance === report.instance) {
			return reporter;
		}

		this.#removeReporter(report.node);
		const created = new ReporterUsage(this.#dependencies.clock, report, reporter?.instance);
		this.#reporters.set(report.node, created);
		return created;
	}

	#removeExpired(): void {
		const now = this.#dependencies.clock.now();
		if (now - this.#expiredAt < expiryIntervalMs) {
			return;
		}

		this.#expiredAt = now;
		for (const [node, usage] of this.#reporters) {
			if (now - usage.heardAt > reporterExpiryMs) {
				this.#removeReporter(node);
			}
		}
	}

	#removeReporter(node: string): void {
		for (const [organisation, rate] of this.#reporters.get(node)?.listRates() ?? []) {
			this.#buckets.get(organisation)?.record(0, -rate, this.#isComplete);
		}

		this.#reporters.delete(node);
	}
}
