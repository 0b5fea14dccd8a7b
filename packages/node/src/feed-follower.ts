/** Follows the feed of one other node. */
import {type Clock} from '@ebonylead/base/base.js';
import {StepError, describeError} from '@ebonylead/base/errors.js';
import {type RolloutUpdate} from '@ebonylead/rollouts/rollout-registry.js';
import {type AcceptedRules} from '@ebonylead/rules/rule-source.js';
import {type FeedTransport} from './feed-transport.js';
import {type RowCache} from './row-cache.js';
import {type FeedLine, type Freshness} from './rules-feed.js';
import {type RulesHistory, type RulesUpdate} from './rules-history.js';

/** Dependencies of `FeedFollower`. */
export type FeedFollowerDependencies = {
	/** Identity of this node. */
	readonly id: string;
	readonly transport: FeedTransport;
	readonly history: RulesHistory;
	readonly rows: RowCache;
	readonly clock: Clock;

	/** Called with each version that the other node sent. */
	readonly onRules: (rules: AcceptedRules) => void;

	/** Called with what the other node knows of roll-outs. */
	readonly onRollouts?: (update: RolloutUpdate) => void;

	/** Called after each line. */
	readonly onLine: () => void;

	/** Called when the feed has ended, with the reason. */
	readonly onEnd: (origin: string, reason: string) => void;
};

/** Maximum length of a line in characters, which bounds the memory that a faulty peer can take. */
const maxLineLength = 16 * 1024 * 1024;

/** Follows one feed at a time, so that transfers never overlap. */
export class FeedFollower {
	readonly #dependencies: FeedFollowerDependencies;
	#controller: AbortController | undefined;
	#origin: string | undefined;
	#startedAt = Number.NEGATIVE_INFINITY;
	#lastBytesAt = Number.NEGATIVE_INFINITY;
	#freshness: Freshness = {until: Number.NEGATIVE_INFINITY, reader: ''};
	#confirmedUntil = Number.NEGATIVE_INFINITY;
	#hasLine = false;

	/** Whether the next feed must send all rules, as an update could not be applied. */
	#needsWhole = false;

	constructor(dependencies: FeedFollowerDependencies) {
		this.#dependencies = dependencies;
	}

	/** Origin of the node that is followed; undefined if none is. */
	get origin(): string | undefined {
		return this.#origin;
	}

	/** Monotonic time at which the current feed was started. */
	get startedAt(): number {
		return this.#startedAt;
	}

	/** Whether the current feed has delivered a line. */
	get hasLine(): boolean {
		return this.#hasLine;
	}

	/** Freshness of the last confirmation from the store that a feed delivered. */
	get freshness(): Freshness {
		return this.#freshness;
	}

	/** As `freshness`, but raised only by lines that say that the sending node's confirmation is fresh: others don't tell how old it is. */
	get confirmedUntil(): number {
		return this.#confirmedUntil;
	}

	/** Ends the current feed, if any, and follows the feed of another node. */
	start(origin: string): void {
		this.stop();
		const controller = new AbortController();
		this.#controller = controller;
		this.#origin = origin;
		this.#startedAt = this.#dependencies.clock.now();
		this.#hasLine = false;
		void this.#follow(origin, controller.signal);
	}

	/** Ends the current feed, if any. */
	stop(): void {
		this.#controller?.abort();
		this.#controller = undefined;
		this.#origin = undefined;
	}

	async #follow(origin: string, signal: AbortSignal): Promise<void> {
		const {
			transport, history, rows, onEnd,
		} = this.#dependencies;
		let reason = 'the feed ended';
		try {
			const versions = this.#needsWhole ? [] : history.listVersions();
			await this.#readLines(await transport.open(origin, {versions, rows: rows.cursor}, signal), signal);
		} catch (error) {
			reason = describeError(error);
		}

		if (!signal.aborted) {
			this.stop();
			onEnd(origin, reason);
		}
	}

	async #readLines(chunks: AsyncIterable<Uint8Array>, signal: AbortSignal): Promise<void> {
		const decoder = new TextDecoder();
		let parts: string[] = [];
		let lineLength = 0;
		for await (const chunk of chunks) {
			if (signal.aborted) {
				return;
			}

			this.#lastBytesAt = this.#dependencies.clock.now();
			const [end, ...starts] = decoder.decode(chunk, {stream: true}).split('\n');
			parts.push(end!);
			lineLength += end!.length;
			for (const start of starts) {
				this.#handleLine(JSON.parse(parts.join('')) as FeedLine);
				parts = [start];
				lineLength = start.length;
			}

			if (lineLength > maxLineLength) {
				throw new StepError('read feed', 'reader', `a line of more than ${maxLineLength} characters`);
			}
		}
	}

	#handleLine({
		freshFor, reader, update, rows: rowUpdate, rollouts,
	}: FeedLine): void {
		const {
			id, rows, onLine, onRollouts,
		} = this.#dependencies;
		// Before the rows: no upstream of a new version may be known without its order.
		if (rollouts !== undefined) {
			onRollouts?.(rollouts);
		}

		if (update !== undefined) {
			this.#applyUpdate(update);
		}

		if (rowUpdate !== undefined && rows.cursor !== undefined) {
			rows.applyUpdate(rowUpdate);
		}

		this.#hasLine = true;
		const until = this.#lastBytesAt + freshFor;
		// A confirmation that this node got itself and that comes back from other nodes shows nothing new.
		if (reader !== id && until > this.#freshness.until) {
			this.#freshness = {until, reader};
		}

		if (reader !== id && freshFor > 0) {
			this.#confirmedUntil = Math.max(this.#confirmedUntil, until);
		}

		onLine();
	}

	#applyUpdate(update: RulesUpdate): void {
		const {history, onRules} = this.#dependencies;
		if (history.listVersions().includes(update.version)) {
			return;
		}

		this.#needsWhole = true;
		const rules = history.decodeUpdate(update);
		if (update.version > history.version) {
			onRules(rules);
		} else {
			// The sender starts its next difference from what it sent last.
			history.addEarlier(rules);
		}

		this.#needsWhole = false;
	}
}
