/** Finds requests that crash upstreams, from the crashes that all nodes have seen. */
import {type Clock} from '@ebonylead/base/base.js';
import {hashText} from '@ebonylead/base/hash.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {
	findGeneration, judgeCrashes, type Crash, type QuarantineStatus,
} from './crash-count.js';
import {type CrashRecord} from './crash-record.js';

/** A request that is not clear, for operators. */
export type QuarantinedRequest = {
	readonly fingerprint: string;
	readonly status: QuarantineStatus;
	readonly crashes: readonly CrashRecord[];
};

/** Time in milliseconds after which a crash no longer counts. */
export const quarantineDurationMs = 10 * 60 * 1000;

/** Maximum number of requests; those that were added first are removed first. */
const maxRequests = 10_000;

/** Maximum number of crashes of one request that are kept: more than it takes to refuse it. Those with the least identifiers are, so that all nodes keep the same. */
const maxCrashesPerRequest = 16;

/** Where a change of what is known comes from. */
export const crashSources = {
	/** This node saw a crash, or a run without one. */
	local: 'this node',
	peer: 'another node',
	operator: 'an operator',
} as const;

/** One of `crashSources`. */
export type CrashSource = typeof crashSources[keyof typeof crashSources];

/** Called with records that this node did not know. */
export type CrashListener = (records: readonly CrashRecord[], source: CrashSource) => void;

/**
 * The crashes known in the fleet, by the requests that were in flight.
 *
 * Each crash counts once, and a run without a crash acquits a request of all
 * crashes that were known by then. Both only add to what is known, so that nodes
 * come to the same set in whatever order they learn of them.
 */
export class Quarantine {
	readonly #requests = new Map<string, Map<string, Crash>>();
	readonly #clock: Clock;
	readonly #log: Logger | undefined;
	readonly #onChange: CrashListener;

	/** Number of crashes that count against a request. */
	#openCount = 0;

	/** Combination of the hashes of all records; it does not depend on their order. */
	#digest = 0;
	#expireAt = Number.POSITIVE_INFINITY;

	constructor(clock: Clock, log?: Logger, onChange: CrashListener = () => undefined) {
		this.#clock = clock;
		this.#log = log;
		this.#onChange = onChange;
	}

	/** Whether no crash counts against any request, as most of the time, so that no fingerprint has to be computed. */
	get isEmpty(): boolean {
		this.#removeExpired();
		return this.#openCount === 0;
	}

	/** Differs between two nodes that know of different records; empty if none is known. */
	get digest(): string {
		this.#removeExpired();
		return this.#requests.size === 0 ? '' : this.#digest.toString(36);
	}

	/** Fingerprints of the quarantined requests. */
	get quarantined(): string[] {
		return this.listRequests().filter(({status}) => status === 'quarantined').map(({fingerprint}) => fingerprint);
	}

	/** Lists the requests that crashes count against. */
	listRequests(): QuarantinedRequest[] {
		this.#removeExpired();
		return [...this.#requests.keys()]
			.map(fingerprint => ({fingerprint, status: this.getStatus(fingerprint), crashes: this.listRecords(fingerprint).filter(({isAcquitted}) => !isAcquitted)}))
			.filter(({crashes}) => crashes.length > 0);
	}

	/** Returns the number of crashes that count against a request. */
	countCrashes(fingerprint: string): number {
		this.#removeExpired();
		return this.#listOpen(fingerprint).length;
	}

	getStatus(fingerprint: string): QuarantineStatus {
		this.#removeExpired();
		return judgeCrashes(this.#listOpen(fingerprint));
	}

	/** Returns the generation of a crash that a run of a request causes if it starts now. */
	getNextGeneration(fingerprint: string): number {
		this.#removeExpired();
		return findGeneration(this.#listOpen(fingerprint)) + 1;
	}

	/** Lists all records, or those of one request. */
	listRecords(fingerprint?: string): CrashRecord[] {
		this.#removeExpired();
		const now = this.#clock.now();
		const fingerprints = fingerprint === undefined ? [...this.#requests.keys()] : [fingerprint];
		return fingerprints.flatMap(key => Array.from(this.#requests.get(key) ?? [], ([crash, {crashedAt, ...values}]) => ({
			fingerprint: key, crash, ...values, age: now - crashedAt,
		})));
	}

	/**
	 * Records that an upstream crashed while requests were in flight.
	 *
	 * @param crash Identifies the crash.
	 * @param runs Generations of the requests, by their fingerprints.
	 */
	recordCrash(crash: string, runs: ReadonlyMap<string, number>): void {
		this.#apply(Array.from(runs, ([fingerprint, generation]) => ({
			fingerprint, crash, inFlight: runs.size, age: 0, generation, isAcquitted: false,
		})), crashSources.local);
	}

	/** Records that a request ran without a crash. */
	recordSuccess(fingerprint: string): void {
		this.#acquit(fingerprint, crashSources.local);
	}

	/** Makes a request run again; returns whether crashes counted against it. */
	lift(fingerprint: string): boolean {
		return this.#acquit(fingerprint, crashSources.operator);
	}

	/** Merges records of another node. */
	merge(records: readonly CrashRecord[]): void {
		if (records.length > 0) {
			this.#apply(records, crashSources.peer);
		}
	}

	#acquit(fingerprint: string, source: CrashSource): boolean {
		const open = this.listRecords(fingerprint).filter(({isAcquitted}) => !isAcquitted);
		this.#apply(open.map(record => ({...record, isAcquitted: true})), source);
		return open.length > 0;
	}

	#apply(records: readonly CrashRecord[], source: CrashSource): void {
		const before = new Map(records.map(({fingerprint}) => [fingerprint, this.getStatus(fingerprint)]));
		const changed = records.filter(record => this.#add(record));
		if (changed.length === 0) {
			return;
		}

		for (const [fingerprint, status] of before) {
			this.#recordStatus(fingerprint, status, source);
		}

		this.#onChange(changed, source);
	}

	/** Adds a record; returns false if it tells nothing new. */
	#add(record: CrashRecord): boolean {
		const {fingerprint, crash, age, inFlight, generation, isAcquitted} = record;
		const crashes = this.#requests.get(fingerprint) ?? new Map<string, Crash>();
		const known = crashes.get(crash);
		const isNews = known === undefined
			? crashes.size < maxCrashesPerRequest || crash < findGreatest(crashes.keys())
			: isAcquitted && !known.isAcquitted;
		if (!isNews || age >= quarantineDurationMs) {
			return false;
		}

		if (known === undefined && crashes.size >= maxCrashesPerRequest) {
			this.#remove(fingerprint, findGreatest(crashes.keys()));
		}

		this.#requests.set(fingerprint, crashes);
		const crashedAt = known?.crashedAt ?? this.#clock.now() - age;
		this.#updateDigest(fingerprint, crash, known);
		const added = {
			crashedAt, inFlight, generation, isAcquitted,
		};
		crashes.set(crash, added);
		this.#updateDigest(fingerprint, crash, added);
		this.#openCount += (isAcquitted ? 0 : 1) - (known && !known.isAcquitted ? 1 : 0);
		this.#expireAt = Math.min(this.#expireAt, crashedAt + quarantineDurationMs);
		this.#removeFirst();
		return true;
	}

	/** Lists the crashes that count against a request. */
	#listOpen(fingerprint: string): Crash[] {
		return [...this.#requests.get(fingerprint)?.values() ?? []].filter(({isAcquitted}) => !isAcquitted);
	}

	#recordStatus(fingerprint: string, before: QuarantineStatus, source: CrashSource): void {
		const status = this.getStatus(fingerprint);
		if (status !== before) {
			this.#log?.warn({
				fingerprint, status, before, source, crashes: this.listRecords(fingerprint).map(({crash, inFlight, generation, age, isAcquitted}) => ({
					crash, inFlight, generation, age: Math.round(age), isAcquitted,
				})),
			}, 'The quarantine status of a request changed');
		}
	}

	/** Adds a record to the digest, or takes it out of it. */
	#updateDigest(fingerprint: string, crash: string, value: Crash | undefined): void {
		if (value) {
			this.#digest = (this.#digest ^ hashText(`${fingerprint} ${crash} ${value.isAcquitted}`)) >>> 0;
		}
	}

	#remove(fingerprint: string, crash: string): void {
		const crashes = this.#requests.get(fingerprint)!;
		const value = crashes.get(crash)!;
		this.#updateDigest(fingerprint, crash, value);
		this.#openCount -= value.isAcquitted ? 0 : 1;
		crashes.delete(crash);
		if (crashes.size === 0) {
			this.#requests.delete(fingerprint);
		}
	}

	#removeFirst(): void {
		for (const [fingerprint, crashes] of this.#requests) {
			if (this.#requests.size <= maxRequests) {
				return;
			}

			for (const crash of crashes.keys()) {
				this.#remove(fingerprint, crash);
			}
		}
	}

	#removeExpired(): void {
		const now = this.#clock.now();
		if (this.#expireAt > now) {
			return;
		}

		this.#expireAt = Number.POSITIVE_INFINITY;
		for (const [fingerprint, crashes] of this.#requests) {
			for (const [crash, {crashedAt}] of crashes) {
				if (crashedAt + quarantineDurationMs <= now) {
					this.#remove(fingerprint, crash);
				} else {
					this.#expireAt = Math.min(this.#expireAt, crashedAt + quarantineDurationMs);
				}
			}
		}
	}
}

function findGreatest(keys: Iterable<string>): string {
	return [...keys].toSorted().at(-1)!;
}
