/** Decides from where this node gets its rules: from the store, or from another node that follows it. */
import {computeBackoff, type Clock, type Random} from '@ebonylead/base/base.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type RolloutUpdate} from '@ebonylead/rollouts/rollout-registry.js';
import {type RuleSource, type RulesHandler} from '@ebonylead/rules/rule-source.js';
import {FeedFollower} from './feed-follower.js';
import {type FeedTransport} from './feed-transport.js';
import {type ReaderRanking} from './reader-ranking.js';
import {type RowCache} from './row-cache.js';
import {type Freshness} from './rules-feed.js';
import {type RulesHistory} from './rules-history.js';
import {StoreReading} from './store-reading.js';

/** Dependencies of `RulesSync`. */
export type RulesSyncDependencies = {
	/** Identity of this node. */
	readonly id: string;
	readonly source: RuleSource;
	readonly transport: FeedTransport;
	readonly history: RulesHistory;
	readonly rows: RowCache;
	readonly ranking: ReaderRanking;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;

	/** Called with each version from the store or from another node. */
	readonly onRules: RulesHandler;

	/** Called with what another node knows of roll-outs. */
	readonly onRollouts?: (update: RolloutUpdate) => void;
};

/** Interval between two decisions that depend only on time; lines and ends of feeds cause one at once. */
const decisionIntervalMs = 100;

/** Delay of a decision from which on it is left out: lines that came meanwhile wait to be read. */
const maxDecisionDelayMs = 100;

/** Time in which a node must send the first line of its feed; a connection and a response within a region take a few milliseconds. */
const firstLineTimeoutMs = 300;

/** Rest of the freshness below which a reader that stands by reads the store, so that its followers need not leave it. */
const takeoverMs = 200;

/** Time for which a node is followed without a fresh confirmation from the store, as it may just have become a reader and still read its first response. */
const catchUpTimeoutMs = 400;

/** Time after which a node that is fresh is left for one that ranks before it. */
const moveIntervalMs = 5000;

/** Number of consecutive failures from which on nodes are given that time, and are tried at growing intervals. The readers before them are tried at once. */
const minSlowFailures = 2;
const attemptBackoffBaseMs = 100;
const maxAttemptBackoffMs = 2000;

/** Bounds of the time between the loss of a fresh confirmation from the store and the reading of the store itself. Other readers take over meanwhile; random, so that not all followers of a failed reader read at the same moment. */
const minFallbackDelayMs = 200;
const maxFallbackDelayMs = 400;

/** Reads the store, or follows a reader, and changes between both as needed. */
export class RulesSync {
	readonly #dependencies: RulesSyncDependencies;
	readonly #reading: StoreReading;
	readonly #follower: FeedFollower;

	/** Monotonic time from which on this node reads the store unless a reader is fresh; undefined while one is. */
	#fallbackAt: number | undefined;
	#role = 'follower';

	/** Number of consecutive feeds that did not help, and the monotonic time of the next attempt. */
	#failures = 0;
	#nextAttemptAt = 0;

	constructor(dependencies: RulesSyncDependencies) {
		const {
			id, source, transport, history, rows, clock, onRules, onRollouts,
		} = dependencies;
		this.#dependencies = dependencies;
		this.#reading = new StoreReading(source, onRules);
		this.#follower = new FeedFollower({
			id,
			transport,
			history,
			rows,
			clock,
			onRules,
			onRollouts,
			onLine: () => {
				this.#update();
			},
			onEnd: (origin, reason) => {
				this.#handleFailure(origin, reason);
				this.#update();
			},
		});
	}

	/** Whether this node gets all from other nodes; also while it changes from one to the next, as long as the confirmation that the last one sent is fresh. */
	get isFollowing(): boolean {
		return this.#isReaderFresh && !this.#reading.isActive;
	}

	/** Whether this node reads the store, and the last read failed. */
	get isStoreUnavailable(): boolean {
		return this.#reading.isActive && this.#dependencies.source.isUnavailable;
	}

	/** Freshness of this node's last confirmation from the store, whether it came directly or by another node. */
	get freshness(): Freshness {
		const {id, source} = this.#dependencies;
		const {freshness} = this.#follower;
		return source.freshUntil >= freshness.until ? {until: source.freshUntil, reader: id} : freshness;
	}

	/** Monotonic time of the store's last confirmation that the version of this node is the newest, whether it came directly or by another node; minus infinity before the first one. */
	get confirmedAt(): number {
		const {source} = this.#dependencies;
		return Math.max(source.freshUntil, this.#follower.confirmedUntil) - (source.freshTime ?? 0);
	}

	/** Keeps the rules current until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, transport} = this.#dependencies;
		let dueAt = clock.now();
		while (!signal.aborted) {
			if (clock.now() - dueAt <= maxDecisionDelayMs) {
				this.#update();
			}

			dueAt = clock.now() + decisionIntervalMs;
			await clock.sleep(decisionIntervalMs, signal);
		}

		this.#follower.stop();
		await this.#reading.stop();
		await transport.close();
	}

	get #isReaderFresh(): boolean {
		return this.#dependencies.clock.now() < this.#follower.freshness.until;
	}

	get #isStoreFresh(): boolean {
		const {source, clock} = this.#dependencies;
		return !source.isUnavailable && clock.now() < source.freshUntil;
	}

	#update(): void {
		const {ranking, log} = this.#dependencies;
		const {isReader, isStandby} = ranking;
		const role = isReader ? 'reader' : (isStandby ? 'standby' : 'follower');
		if (role !== this.#role) {
			log.info({before: this.#role, role}, 'Changed the role in the data centre');
			this.#role = role;
		}

		this.#stopFailedFeed();
		this.#chooseFeed(isReader);
		this.#chooseReading(isReader);
	}

	#stopFailedFeed(): void {
		const {clock, ranking} = this.#dependencies;
		const {
			origin, hasLine, startedAt,
		} = this.#follower;
		if (origin === undefined) {
			return;
		}

		if (!hasLine) {
			if (clock.now() - startedAt > firstLineTimeoutMs) {
				this.#handleFailure(origin, 'no answer');
			}
		} else if (this.#isReaderFresh) {
			this.#failures = 0;
			ranking.release(origin);
		} else if (this.#failures < minSlowFailures || clock.now() - startedAt > catchUpTimeoutMs) {
			this.#handleFailure(origin, 'its last confirmation from the store is too old');
		}
	}

	#handleFailure(origin: string, reason: string): void {
		const {
			ranking, log, clock, random,
		} = this.#dependencies;
		this.#follower.stop();
		ranking.suspend(origin);
		this.#failures++;
		const backoff = this.#failures < minSlowFailures ? 0 : computeBackoff(random, this.#failures - minSlowFailures + 1, attemptBackoffBaseMs, maxAttemptBackoffMs);
		this.#nextAttemptAt = clock.now() + backoff;
		log.warn({origin, reason}, 'Stopped following a node');
	}

	/** Follows the preferred reader that is not suspended; a reader follows another one only while the store does not answer it. */
	#chooseFeed(isReader: boolean): void {
		const {
			log, history, source, clock,
		} = this.#dependencies;
		if (isReader && this.#isStoreFresh) {
			this.#follower.stop();
			return;
		}

		const isFirstRead = history.version === 0 && !source.isUnavailable;
		const candidates = this.#listCandidates();
		const {origin} = this.#follower;
		const isSettled = this.#isReaderFresh && clock.now() - this.#follower.startedAt < moveIntervalMs;
		const isFollowing = origin !== undefined && (candidates.includes(origin) || isSettled);
		if (isFirstRead || isFollowing || candidates.length === 0 || clock.now() < this.#nextAttemptAt) {
			return;
		}

		log.info({origin: candidates[0], version: history.version}, 'Following a reader');
		this.#follower.start(candidates[0]!);
	}

	/** Lists the readers of the own data centre, and those of the others if the own ones did not help and the store does not answer. */
	#listCandidates(): string[] {
		const {ranking} = this.#dependencies;
		const origins = ranking.listOrigins();
		const mustAskRemote = this.#reading.isActive && !this.#isStoreFresh && (origins.length === 0 || this.#failures >= minSlowFailures);
		return mustAskRemote ? [...ranking.listRemoteOrigins(), ...origins] : origins;
	}

	#chooseReading(isReader: boolean): void {
		const {
			clock, random, history, log, ranking,
		} = this.#dependencies;
		const mustTakeOver = ranking.isStandby && this.#follower.freshness.until - clock.now() < takeoverMs;
		if (this.#isReaderFresh && !isReader && !mustTakeOver && history.version > 0) {
			this.#fallbackAt = undefined;
			if (this.#reading.isActive) {
				log.info({origin: this.#follower.origin, version: history.version}, 'Stopped reading the store');
				void this.#reading.stop();
			}

			return;
		}

		this.#fallbackAt ??= clock.now() + minFallbackDelayMs + ((maxFallbackDelayMs - minFallbackDelayMs) * random.next());
		const mustRead = isReader || mustTakeOver || history.version === 0 || clock.now() >= this.#fallbackAt;
		if (mustRead && !this.#reading.isActive) {
			log.info({isReader, version: history.version}, 'Reading the store');
			this.#reading.start();
		}
	}
}
