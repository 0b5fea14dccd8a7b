/** Prometheus metrics of calls by organisation, with a bounded number of series. */
import {type Clock} from '@ebonylead/base/base.js';
import {Counter, type Registry} from 'prom-client';

/** Number of organisations that get series of their own for the number of their requests, and as many for the number of their refused ones. */
const maxRanked = 20;

/** Interval between two rankings. The counts of the ranking are halved then, so that an organisation that has become quiet makes room. */
const rankIntervalMs = 10_000;

/** Label of all organisations without series of their own. */
const otherLabel = 'other';

/** Recent numbers of one organisation, halved at each ranking. */
type RecentCounts = {requests: number; refused: number};

/** How a request of an organisation ended: values of the label `result`, besides those of `callResults`. */
export const organisationResults = {
	/** A request with a valid key arrived; each is counted once. */
	arrived: 'arrived',

	/** The request was refused for the quota of its organisation. */
	quota: 'quota',
} as const;

/**
 * Counts requests by organisation. The organisations with the most requests and those with the most refused ones have series of their own; those of an
 * organisation that leaves the ranking are removed, and what it does from then on counts as `other`. So no series ever decreases, except by a restart from 0.
 */
export class OrganisationMetrics {
	readonly #clock: Clock;
	readonly #requests: Counter;
	readonly #refusals: Counter;
	readonly #recent = new Map<string, RecentCounts>();
	readonly #results = new Set<string>();
	#named = new Set<string>();
	#rankAt = 0;

	constructor(registry: Registry, clock: Clock) {
		this.#clock = clock;
		this.#requests = new Counter({
			name: 'ebonylead_organisation_requests_total',
			help: 'Requests with a valid key by organisation and result; each counts once as arrived. The busiest organisations by name.',
			labelNames: ['organisation', 'result'],
			registers: [registry],
		});
		this.#refusals = new Counter({
			name: 'ebonylead_access_refusals_total', help: 'Requests that belong to no organisation, by cause.', labelNames: ['cause'], registers: [registry],
		});
	}

	/** Records the arrival of a request with a valid key. */
	recordRequest(organisation: string): void {
		this.#rankIfDue();
		this.#getRecent(organisation).requests++;
		this.#increment(organisation, organisationResults.arrived);
	}

	/** Records how a request of an organisation ended. */
	recordResult(organisation: string, result: string, isRefused: boolean): void {
		if (isRefused) {
			this.#getRecent(organisation).refused++;
		}

		this.#increment(organisation, result);
	}

	/** Records a request without a valid key. */
	recordRefusal(cause: string): void {
		this.#refusals.inc({cause});
	}

	#increment(organisation: string, result: string): void {
		this.#results.add(result);
		this.#requests.inc({organisation: this.#chooseLabel(organisation), result});
	}

	/** Names organisations as they come while there is room. */
	#chooseLabel(organisation: string): string {
		if (!this.#named.has(organisation)) {
			if (this.#named.size >= maxRanked) {
				return otherLabel;
			}

			this.#named.add(organisation);
		}

		return organisation;
	}

	#getRecent(organisation: string): RecentCounts {
		let counts = this.#recent.get(organisation);
		if (counts === undefined) {
			counts = {requests: 0, refused: 0};
			this.#recent.set(organisation, counts);
		}

		return counts;
	}

	#rankIfDue(): void {
		const now = this.#clock.now();
		if (now < this.#rankAt) {
			return;
		}

		this.#rankAt = now + rankIntervalMs;
		const named = new Set([...this.#listTop(counts => counts.requests), ...this.#listTop(counts => counts.refused)]);
		for (const name of this.#named) {
			if (!named.has(name)) {
				this.#removeSeries(name);
			}
		}

		this.#named = named;
		this.#decay();
	}

	#listTop(getCount: (counts: RecentCounts) => number): string[] {
		return [...this.#recent]
			.filter(([, counts]) => getCount(counts) > 0)
			.toSorted(([, left], [, right]) => getCount(right) - getCount(left))
			.slice(0, maxRanked)
			.map(([name]) => name);
	}

	#removeSeries(organisation: string): void {
		for (const result of this.#results) {
			this.#requests.remove({organisation, result});
		}
	}

	#decay(): void {
		for (const [name, counts] of this.#recent) {
			counts.requests = Math.floor(counts.requests / 2);
			counts.refused = Math.floor(counts.refused / 2);
			if (counts.requests === 0 && counts.refused === 0) {
				this.#recent.delete(name);
			}
		}
	}
}
