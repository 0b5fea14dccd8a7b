/** Sends the versions of the rules and the rows of the members to the nodes that follow this one, each over one open response. */
import {type Writable} from 'node:stream';
import {type Clock} from '@ebonylead/base/base.js';
import {type RolloutRegistry, type RolloutUpdate} from '@ebonylead/rollouts/rollout-registry.js';
import {type FeedPosition} from './feed-transport.js';
import {type RowCache, type RowCursor, type RowUpdate} from './row-cache.js';
import {type RulesHistory, type RulesUpdate} from './rules-history.js';

/** A line of a feed: the version of the sending node, with an update to it where the receiver has an earlier one. */
export type FeedLine = {
	readonly version: number;

	/** Time in milliseconds for which the sending node's last confirmation from the store still counts as fresh; 0 if it does not. */
	readonly freshFor: number;

	/** Identity of the node that got this confirmation from the store. */
	readonly reader: string;
	readonly update?: RulesUpdate;

	/** Rows of the members that the receiver lacks; absent before the sending node has read them. */
	readonly rows?: RowUpdate;

	/** Roll-outs, if they changed since the last line. */
	readonly rollouts?: RolloutUpdate;
};

/** A confirmation from the store: until which monotonic time it counts as fresh, and the identity of the node that got it. */
export type Freshness = {readonly until: number; readonly reader: string};

/** Tells followers to choose another node, as this one does not get the members. */
export const expiredFreshness: Freshness = {until: Number.NEGATIVE_INFINITY, reader: ''};

/** Dependencies of `RulesFeed`. */
export type RulesFeedDependencies = {
	readonly history: RulesHistory;
	readonly rows: RowCache;
	readonly clock: Clock;

	/** Roll-outs that this node knows; undefined where there are none. */
	readonly rollouts?: Pick<RolloutRegistry, 'revision' | 'buildUpdate'>;

	/** Returns the freshness of the last confirmation from the store. */
	readonly getFreshness: () => Freshness;
};

/** Longest interval between two lines. */
const lineIntervalMs = 300;

/** Interval at which a new confirmation from the store is looked for, which is told at once. */
const pollIntervalMs = 100;

/** A node that follows this one. */
type FeedReceiver = {
	readonly output: Writable;

	/** Versions that the node keeps, as far as known: those that it named, then the last one sent. */
	versions: readonly number[];

	/** Position up to which the node knows the rows. */
	rows: RowCursor | undefined;

	/** Revision of the roll-outs that was sent last. */
	rolloutRevision: number;

	/** Whether the last line still waits to be sent; the versions of meanwhile are merged into the next line. */
	isBlocked: boolean;
};

/** Feeds of this node. */
export class RulesFeed {
	readonly #dependencies: RulesFeedDependencies;
	readonly #receivers = new Set<FeedReceiver>();

	/** Time of the last line to all receivers, and the freshness that it told. */
	#sentAt = Number.NEGATIVE_INFINITY;
	#sentUntil = Number.NEGATIVE_INFINITY;
	#wake: (() => void) | undefined;

	constructor(dependencies: RulesFeedDependencies) {
		this.#dependencies = dependencies;
		dependencies.rows.addListener(() => {
			this.sendToAll();
		});
	}

	/** Number of nodes that follow this one. */
	get receiverCount(): number {
		return this.#receivers.size;
	}

	/** Adds a node at a position, and sends to its output until that closes. */
	add(output: Writable, {versions, rows}: FeedPosition): void {
		const receiver: FeedReceiver = {
			output, versions, rows, rolloutRevision: 0, isBlocked: false,
		};
		this.#receivers.add(receiver);
		this.#wake?.();
		output.on('drain', () => {
			receiver.isBlocked = false;
			const {history, rows: cache, rollouts} = this.#dependencies;
			const hasRollouts = rollouts !== undefined && rollouts.revision > receiver.rolloutRevision;
			if (!receiver.versions.includes(history.version) || (receiver.rows?.revision ?? 0) < cache.changedAt || hasRollouts) {
				this.#send(receiver);
			}
		});
		output.on('close', () => {
			this.#receivers.delete(receiver);
		});
		output.on('error', () => {
			this.#receivers.delete(receiver);
		});
		this.#send(receiver);
	}

	/** Sends a line to all receivers, as there is a new version. */
	sendToAll(): void {
		this.#sentAt = this.#dependencies.clock.now();
		this.#sentUntil = this.#dependencies.getFreshness().until;
		for (const receiver of this.#receivers) {
			this.#send(receiver);
		}
	}

	/** Sends lines until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, getFreshness} = this.#dependencies;
		signal.addEventListener('abort', () => {
			this.#wake?.();
		});
		while (!signal.aborted) {
			if (this.#receivers.size === 0) {
				await this.#waitForReceiver();
			}

			await clock.sleep(pollIntervalMs, signal);
			if (getFreshness().until > this.#sentUntil || clock.now() - this.#sentAt >= lineIntervalMs) {
				this.sendToAll();
			}
		}

		for (const {output} of this.#receivers) {
			output.destroy();
		}
	}

	async #waitForReceiver(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#wake = resolve;
		});
	}

	#send(receiver: FeedReceiver): void {
		if (receiver.isBlocked) {
			return;
		}

		const {
			history, rows, clock, getFreshness,
		} = this.#dependencies;
		const {until, reader} = getFreshness();
		const freshFor = Math.max(0, Math.round(until - clock.now()));
		const update = history.encodeUpdate(receiver.versions);
		const rowUpdate = rows.encodeUpdate(receiver.rows);
		receiver.rows = mergeCursors(receiver.rows, rowUpdate);
		const rowPart = rowUpdate === undefined ? '' : `,"rows":${JSON.stringify(rowUpdate)}`;
		const updatePart = update === undefined ? '' : `,"update":${update}`;
		if (update !== undefined) {
			receiver.versions = [history.version];
		}

		const line = `{"version":${history.version},"freshFor":${freshFor},"reader":${JSON.stringify(reader)}${rowPart}${this.#encodeRollouts(receiver)}${updatePart}}\n`;
		receiver.isBlocked = !receiver.output.write(line);
	}

	#encodeRollouts(receiver: FeedReceiver): string {
		const {rollouts} = this.#dependencies;
		if (rollouts === undefined || rollouts.revision === receiver.rolloutRevision) {
			return '';
		}

		receiver.rolloutRevision = rollouts.revision;
		return `,"rollouts":${JSON.stringify(rollouts.buildUpdate())}`;
	}
}

/** Returns the later one of two positions. */
function mergeCursors(left: RowCursor | undefined, right: RowCursor | undefined): RowCursor | undefined {
	if (left === undefined || right === undefined) {
		return right ?? left;
	}

	const isRightLater = right.era > left.era || (right.era === left.era && right.revision > left.revision);
	const {era, revision} = isRightLater ? right : left;
	return {era, revision};
}
