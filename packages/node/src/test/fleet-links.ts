/** Links of the nodes of a fleet in virtual time: to the store, and to each other. */
import {type Buffer} from 'node:buffer';
import {Writable} from 'node:stream';
import {StepError} from '@ebonylead/base/errors.js';
import {type EventClock} from '@ebonylead/stand-ins/event-clock.js';
import {type FakeRowStore} from '@ebonylead/stand-ins/fake-row-store.js';
import {type RowPage, type RowStore} from '@ebonylead/store/row-store.js';

/** What a message costs beside its content. */
const messageBytes = 120;

/** The slowest link of a VM, 3.5 Mbit/s, and the time of one way. */
const linkBytesPerMs = 437;
export const latencyMs = 2;
export const storeTimeoutMs = 800;
export const feedWaitMs = 500;

/** The parts of a node that its links need. */
export type LinkedNode = {
	readonly counters: {
		storeBytes: number;
		storeCalls: number;
	};
	readonly isStoreCut: boolean;
	readonly isCut: boolean;
	readonly isKilled: boolean;
};

/** Store as one node reaches it: slow by the node's link, and cut off on demand. */
export class NodeStore implements RowStore {
	readonly #store: FakeRowStore;
	readonly #clock: EventClock;
	readonly #getNode: () => LinkedNode;

	constructor(store: FakeRowStore, clock: EventClock, getNode: () => LinkedNode) {
		this.#store = store;
		this.#clock = clock;
		this.#getNode = getNode;
	}

	async readTable(table: string): Promise<RowPage> {
		return this.#transfer(async () => this.#store.readTable(table), storeTimeoutMs, () => this.#isCut);
	}

	async waitForChanges(table: string, after: number, signal: AbortSignal, maxWait = feedWaitMs): Promise<RowPage> {
		const waited = new AbortController();
		const stop = () => {
			waited.abort();
		};

		signal.addEventListener('abort', stop);
		try {
			return await this.#transfer(async () => {
				void this.#clock.sleep(maxWait, waited.signal).then(stop);
				return this.#store.waitForChanges(table, after, waited.signal);
			}, maxWait + storeTimeoutMs, () => this.#isCut || this.#store.areFeedsSilent);
		} finally {
			signal.removeEventListener('abort', stop);
			stop();
		}
	}

	async writeRow(): Promise<never> {
		throw new StepError('write row', 'store', 'not used');
	}

	async #transfer(read: () => Promise<RowPage>, timeout: number, isLost: () => boolean): Promise<RowPage> {
		const node = this.#getNode();
		await this.#clock.sleep(latencyMs);
		const wasLost = isLost();
		const page = wasLost ? undefined : await read();
		if (page === undefined || isLost()) {
			await this.#clock.sleep(timeout);
			throw new StepError('read', 'store', 'no answer');
		}

		const bytes = messageBytes + page.rows.reduce((sum, row) => sum + (row.value?.length ?? 0), 0);
		await this.#clock.sleep(latencyMs + (bytes / linkBytesPerMs));
		node.counters.storeBytes += bytes;
		node.counters.storeCalls++;
		return page;
	}

	get #isCut(): boolean {
		const {isStoreCut, isCut, isKilled} = this.#getNode();
		return isStoreCut || isCut || isKilled;
	}
}

/** Connection in memory on which a feed is sent. */
export class FeedConnection extends Writable {
	readonly #chunks: Array<{readonly bytes: Uint8Array; readonly arrivesAt: number}> = [];
	readonly #clock: EventClock;
	readonly #isCut: () => boolean;
	readonly #counters: ReadonlyArray<(bytes: number) => void>;
	#wake: (() => void) | undefined;

	constructor(clock: EventClock, isCut: () => boolean, counters: ReadonlyArray<(bytes: number) => void>) {
		super();
		this.#clock = clock;
		this.#isCut = isCut;
		this.#counters = counters;
	}

	override _write(chunk: Buffer, _encoding: string, callback: () => void): void {
		for (const count of this.#counters) {
			count(chunk.length + messageBytes);
		}

		if (!this.#isCut()) {
			this.#chunks.push({bytes: chunk, arrivesAt: this.#clock.now() + latencyMs + (chunk.length / linkBytesPerMs)});
			this.#wake?.();
		}

		callback();
	}

	override _destroy(_error: Error | null, callback: () => void): void {
		this.#wake?.();
		callback();
	}

	async * read(signal: AbortSignal): AsyncGenerator<Uint8Array> {
		signal.addEventListener('abort', () => {
			this.destroy();
		});
		while (!this.destroyed) {
			const chunk = this.#chunks.shift();
			if (chunk === undefined) {
				await new Promise<void>(resolve => {
					this.#wake = resolve;
				});
				continue;
			}

			await this.#clock.sleep(Math.max(0, chunk.arrivesAt - this.#clock.now()));
			yield chunk.bytes;
		}
	}
}
