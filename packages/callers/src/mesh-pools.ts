/** Connections to the nodes beside upstreams, one pool for each. */
import {type Clock} from '@ebonylead/base/base.js';
import {Pool} from 'undici';

/** Most connections to one node. */
const maxConnections = 130;

/** Time in milliseconds for a new connection; nodes are a few milliseconds apart, and a call that finds no connection goes elsewhere. */
const connectTimeout = 300;

/** Shorter than the time after which the other node closes an idle connection. */
const keepAliveTime = 60_000;

/** A pool that was not used for this time in milliseconds is closed. */
const idleLimit = 120_000;
const sweepPeriod = 30_000;

type Entry = {
	readonly pool: Pool;
	usedAt: number;
	answeredAt: number;
};

/** Opens pools on demand, retires those that went silent, and closes idle ones. */
export class MeshPools {
	readonly #clock: Clock;
	readonly #entries = new Map<string, Entry>();
	readonly #sweeper: NodeJS.Timeout;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#sweeper = setInterval(() => {
			this.#closeIdle();
		}, sweepPeriod);
		this.#sweeper.unref();
	}

	/** Count of pools. */
	get size(): number {
		return this.#entries.size;
	}

	/** Returns the pool of a node. */
	open(origin: string): Pool {
		const entry = this.#entries.get(origin);
		if (entry) {
			entry.usedAt = this.#clock.now();
			return entry.pool;
		}

		const pool = new Pool(origin, {
			connections: maxConnections,
			pipelining: 1,
			keepAliveTimeout: keepAliveTime,
			keepAliveMaxTimeout: keepAliveTime,
			connect: {timeout: connectTimeout},
		});
		this.#entries.set(origin, {pool, usedAt: this.#clock.now(), answeredAt: Number.NEGATIVE_INFINITY});
		return pool;
	}

	/** Notes that a node answered. */
	recordAnswer(origin: string): void {
		const entry = this.#entries.get(origin);
		if (entry) {
			entry.answeredAt = this.#clock.now();
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
	retireIfSilent(origin: string, since: number): boolean {
		const entry = this.#entries.get(origin);
		if (entry === undefined || entry.answeredAt > since) {
			return false;
		}

		this.#entries.delete(origin);
		void entry.pool.close();
		return true;
	}

	/** Closes all connections at once. */
	async close(): Promise<void> {
		clearInterval(this.#sweeper);
		await Promise.all([...this.#entries.values()].map(async ({pool}) => pool.destroy()));
	}

	#closeIdle(): void {
		const limit = this.#clock.now() - idleLimit;
		for (const [origin, {pool, usedAt}] of this.#entries) {
			if (usedAt < limit) {
				this.#entries.delete(origin);
				void pool.close();
			}
		}
	}
}
