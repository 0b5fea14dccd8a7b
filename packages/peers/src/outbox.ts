/** Batches membership changes and sends them to all members. */
import {type Clock} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type Member} from './generated/peers.js';
import {isNewer} from './membership.js';
import {type PushTree} from './push-tree.js';

/** How long changes are collected into one push, in milliseconds. */
const batchWindowMs = 150;

/** The encoded delta of a push that carries no version. */
const noDelta = new Uint8Array(0);

/** Sends membership changes that this node made or detected to all members. */
export class Outbox {
	readonly #pushTree: PushTree;
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #pending = new Map<string, Member>();
	#flushing: Promise<void> | undefined;

	constructor(pushTree: PushTree, clock: Clock, log: Logger) {
		this.#pushTree = pushTree;
		this.#clock = clock;
		this.#log = log;
	}

	/** Adds a record to be sent to all members. */
	add(member: Member): void {
		const pending = this.#pending.get(member.id);
		if (pending === undefined || isNewer(member, pending)) {
			this.#pending.set(member.id, member);
		}

		this.#flushing ??= this.#sendBatch();
	}

	/** Waits until all records added so far have been sent. */
	async flush(): Promise<void> {
		await this.#flushing;
	}

	async #sendBatch(): Promise<void> {
		await this.#clock.sleep(batchWindowMs);
		const members = [...this.#pending.values()];
		this.#pending.clear();
		this.#flushing = undefined;
		try {
			const reply = await this.#pushTree.sendToAll({versionDelta: noDelta, members, crashRecords: []});
			this.#log.debug(`Reached ${reply.reached} members with ${members.length} changes, ${reply.unreachedCount} not reached`);
		} catch (error) {
			this.#log.warn(`Sending membership changes failed: ${describeError(error)}`);
		}
	}
}
