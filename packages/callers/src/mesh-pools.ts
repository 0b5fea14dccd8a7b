/** Connection pools to sidecars, one for each. */
import {type Clock} from '@ebonylead/base/base.js';
import {Pool} from 'undici';

/** Default of the maximum number of connections to one sidecar. */
const defaultMaxConnections = 130;

/** Connect timeout in milliseconds; nodes are a few milliseconds apart, and a call that gets no connection is retried on another node. */
const connectTimeoutMs = 300;

/** Keep-alive timeout in milliseconds; shorter than that of the sidecar, so that the entry node is the one that closes idle connections. */
const keepAliveTimeoutMs = 60_000;

/** Time in milliseconds after which an unused pool is closed. */
const idleTimeoutMs = 120_000;
const sweepIntervalMs = 30_000;

type PoolEntry = {
	readonly pool: Pool;
	readonly createdAt: number;
	usedAt: number;
	respondedAt: number;
};

/** Creates pools on demand, and closes those that are idle or whose connections are unresponsive. */
export class MeshPools {
	readonly #clock: Clock;
	readonly #maxConnections: number;
	readonly #entries = new Map<string, PoolEntry>();
	readonly #sweepTimer: NodeJS.Timeout;

	constructor(clock: Clock, maxConnections = defaultMaxConnections) {
		this.#clock = clock;
		this.#maxConnections = maxConnections;
		this.#sweepTimer = setInterval(() => {
			this.#closeIdle();
		}, sweepIntervalMs);
		this.#sweepTimer.unref();
	}

	/** Number of pools. */
	get size(): number {
		return this.#entries.size;
	}

	/** Returns the pool of a sidecar, and creates it if there is none. */
	getPool(origin: string): Pool {
		const entry = this.#entries.get(origin);
		if (entry) {
			entry.usedAt = this.#clock.now();
			return entry.pool;
		}

		const pool = new Pool(origin, {
			connections: this.#maxConnections,
			pipelining: 1,
			keepAliveTimeout: keepAliveTimeoutMs,
			keepAliveMaxTimeout: keepAliveTimeoutMs,
			connect: {timeout: connectTimeoutMs},
		});
		const now = this.#clock.now();
		this.#entries.set(origin, {
			pool, createdAt: now, usedAt: now, respondedAt: Number.NEGATIVE_INFINITY,
		});
		return pool;
	}

	/** Records that a response arrived from a sidecar. */
	recordResponse(origin: string): void {
		const entry = this.#entries.get(origin);
		if (entry) {
			entry.respondedAt = this.#clock.now();
		}
	}

	/** Returns whether a sidecar could be reached at some time since a given one: a response arrived, or a connection is open. */
	hasBeenReachable(origin: string, since: number): boolean {
		const entry = this.#entries.get(origin);
		return entry !== undefined && (entry.respondedAt >= since || entry.pool.stats.connected > 0);
	}

	/**
	 * Removes the pool of a sidecar if it existed at a given time, and no response has arrived on it since.
	 *
	 * If one connection is unresponsive, the others may be as well: a device on
	 * the network path may have lost the state of all of them. The next call
	 * creates a new pool; calls in flight on the old connections may finish there.
	 *
	 * @param since Monotonic time in milliseconds.
	 * @returns Whether the pool was removed.
	 */
	closeIfUnresponsive(origin: string, since: number): boolean {
		const entry = this.#entries.get(origin);
		if (entry === undefined || entry.createdAt > since || entry.respondedAt > since) {
			return false;
		}

		this.#entries.delete(origin);
		void entry.pool.close();
		return true;
	}

	/** Closes all connections, also those with calls in flight. */
	async close(): Promise<void> {
		clearInterval(this.#sweepTimer);
		await Promise.all([...this.#entries.values()].map(async ({pool}) => pool.destroy()));
	}

	#closeIdle(): void {
		const limit = this.#clock.now() - idleTimeoutMs;
		for (const [origin, {pool, usedAt}] of this.#entries) {
			if (usedAt < limit) {
				this.#entries.delete(origin);
				void pool.close();
			}
		}
	}
}
