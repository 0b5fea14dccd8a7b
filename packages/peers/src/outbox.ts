/** Collects changes of membership, and spreads them together. */
import {type Clock} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type Member} from './generated/peers.js';
import {isNewer} from './membership.js';
import {type Spreader} from './spreader.js';

/** Time in milliseconds in which changes are collected into one push. */
const batchTime = 150;
const noDelta = new Uint8Array(0);

/** Sends changes that this node made or found out to all members. */
export class Outbox {
	readonly #spreader: Spreader;
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #waiting = new Map<string, Member>();
	#flushing: Promise<void> | undefined;

	constructor(spreader: Spreader, clock: Clock, log: Logger) {
		this.#spreader = spreader;
		this.#clock = clock;
		this.#log = log;
	}

	/** Adds a record that all members should get. */
	add(member: Member): void {
		const waiting = this.#waiting.get(member.id);
		if (waiting === undefined || isNewer(member, waiting)) {
			this.#waiting.set(member.id, member);
		}

		this.#flushing ??= this.#flushSoon();
	}

	/** Waits until everything added so far was sent. */
	async flush(): Promise<void> {
		await this.#flushing;
	}

	async #flushSoon(): Promise<void> {
		await this.#clock.sleep(batchTime);
		const members = [...this.#waiting.values()];
		this.#waiting.clear();
		this.#flushing = undefined;
		try {
			const reply = await this.#spreader.spreadEverywhere({versionDelta: noDelta, members, suspects: []});
			this.#log.debug(`Told ${reply.reached} members of ${members.length} changes, ${reply.unreachedCount} not reached`);
		} catch (error) {
			this.#log.warn(`Changes of membership were not spread: ${describeError(error)}`);
		}
	}
}
