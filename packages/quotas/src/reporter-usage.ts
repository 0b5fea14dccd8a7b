/** What the quota home knows of one node's requests. */
import {type Clock} from '@ebonylead/base/base.js';
import {millisecondsPerSecond, type QuotaReport, type QuotaUsage} from './quotas.js';

/** Time constant in milliseconds with which the rate of a node follows its reports: a report over a second counts nearly alone, several at short intervals count together. */
const rateDecayMs = 300;

/** Rate of arrivals per second below which an organisation without arrivals is forgotten at a node. */
const minRate = 0.01;

/** What a report changes for one organisation. */
export type UsageChange = {
	readonly organisation: string;

	/** Admissions that were not counted yet; negative if requests gave theirs back. */
	readonly admitted: number;

	/** Change of the arrivals per second. */
	readonly rateChange: number;
};

type Counts = {
	admitted: number;
	arrived: number;

	/** Arrivals per second. */
	rate: number;
};

/** Counts of one process, from which each report is the difference. */
export class ReporterUsage {
	readonly instance: number;
	readonly #clock: Clock;

	/** The process of the node before this one, whose reports may still arrive. */
	readonly #previousInstance: number | undefined;
	readonly #counts = new Map<string, Counts>();
	#number = 0;
	#heardAt: number;

	constructor(clock: Clock, report: QuotaReport, previousInstance: number | undefined) {
		this.#clock = clock;
		this.instance = report.instance;
		this.#previousInstance = previousInstance;
		this.#heardAt = clock.now() - report.elapsed;
	}

	/** Monotonic time in milliseconds of the last report. */
	get heardAt(): number {
		return this.#heardAt;
	}

	/** Whether a report is older than one that was counted. */
	isLate({instance, number}: QuotaReport): boolean {
		return instance === this.#previousInstance || (instance === this.instance && number <= this.#number);
	}

	/** Lists the arrivals per second by organisation. */
	listRates(): Array<[string, number]> {
		return [...this.#counts].map(([organisation, {rate}]) => [organisation, rate]);
	}

	/** Merges a report that is not late, and returns what it changes. */
	merge({number, usages}: QuotaReport): UsageChange[] {
		const now = this.#clock.now();
		const kept = Math.exp((this.#heardAt - now) / rateDecayMs);
		const perArrival = now > this.#heardAt ? (1 - kept) / (now - this.#heardAt) * millisecondsPerSecond : millisecondsPerSecond / rateDecayMs;
		this.#number = number;
		this.#heardAt = now;
		const usageByName = new Map(usages.map(usage => [usage.organisation, usage]));
		for (const {organisation, acknowledgedAdmitted, acknowledgedArrived} of usages) {
			if (!this.#counts.has(organisation)) {
				this.#counts.set(organisation, {admitted: acknowledgedAdmitted, arrived: acknowledgedArrived, rate: 0});
			}
		}

		return [...this.#counts].map(([organisation, counts]) => this.#mergeCounts(organisation, counts, usageByName.get(organisation), {kept, perArrival}));
	}

	#mergeCounts(organisation: string, counts: Counts, usage: QuotaUsage | undefined, weights: {readonly kept: number; readonly perArrival: number}): UsageChange {
		const admitted = usage ? usage.admitted - counts.admitted : 0;
		const arrived = usage ? usage.arrived - counts.arrived : 0;
		const before = counts.rate;
		counts.rate = (before * weights.kept) + (arrived * weights.perArrival);
		if (usage) {
			counts.admitted = usage.admitted;
			counts.arrived = usage.arrived;
		} else if (counts.rate < minRate) {
			// Without a usage in the report, the counts are those that the node holds as acknowledged.
			counts.rate = 0;
			this.#counts.delete(organisation);
		}

		return {organisation, admitted, rateChange: counts.rate - before};
	}
}
