/** Connections to the nodes beside upstreams, one pool for each. */
import {type Clock} from '@ebonylead/base/base.js';
import {Pool} from 'undici';

/** Most connections to one node. */
const maxConnections = 130;

/** Time in milliseconds for a new connection; nodes are a few milliseconds apart, and a call that finds no connection goes elsewhere. */
const connectTimeoutMs = 300;

/** Shorter than the time after which the other node closes an idle connection. */
const keepAliveTimeoutMs = 60_000;

/** A pool that was not used for this time in milliseconds is closed. */
const idleTimeoutMs = 120_000;
const sweepIntervalMs = 30_000;

type PoolEntry = {
	readonly pool: Pool;
	usedAt: number;
	respondedAt: number;
};

/** Opens pools on demand, retires those that went silent, and closes idle ones. */
export class MeshPools {
	readonly #clock: Clock;
	readonly #entries = new Map<string, PoolEntry>();
	readonly #sweepTimer: NodeJS.Timeout;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#sweepTimer = setInterval(() => {
			this.#closeIdle();
		}, sweepIntervalMs);
		this.#sweepTimer.unref();
	}

	/** Count of pools. */
	get size(): number {
		return this.#entries.size;
	}

	/** Returns the pool of a node. */
	getPool(origin: string): Pool {
		const entry = this.#entries.get(origin);
		if (entry) {
			entry.usedAt = this.#clock.now();
			return entry.pool;
		}

		const pool = new Pool(origin, {
			connections: maxConnections,
			pipelining: 1,
			keepAliveTimeout: keepAliveTimeoutMs,
			keepAliveMaxTimeout: keepAliveTimeoutMs,
			connect: {timeout: connectTimeoutMs},
		});
		this.#entries.set(origin, {pool, usedAt: this.#clock.now(), respondedAt: Number.NEGATIVE_INFINITY});
		return pool;
	}

	/** Notes that a node answered. */
	recordResponse(origin: string): void {
		const entry = this.#entries.get(origin);
		if (entry) {
			entry.respondedAt = this.#clock.now();
		}
	}

	/**
	 * Takes all connections to a node out of use if none of them brought an
	 * answer since a time.
	 *
	 * One connection that went silent makes its kin suspect: something between
	 * the two ends may have lost track of all of them. New calls get new
	 * connections; calls on the old ones may end there.
	 *
	 * @param since Monotonic time in milliseconds.
	 * @returns Whether the connections were retired.
	 */
	closeIfUnresponsive(origin: string, since: number): boolean {
		const entry = this.#entries.get(origin);
		if (entry === undefined || entry.respondedAt > since) {
			return false;
		}

		this.#entries.delete(origin);
		void entry.pool.close();
		return true;
	}

	/** Closes all connections at once. */
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
