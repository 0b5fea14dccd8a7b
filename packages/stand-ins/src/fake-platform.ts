/** In-memory table service and object store with faults on demand. */
import {OutcomeUnknownError, StepError} from '@ebonylead/base/errors.js';
import {type Clock} from '@ebonylead/base/base.js';
import {
	type ObjectStore, type Row, type TableService, type Transaction, type TransactionOutcome,
} from '@ebonylead/store/store.js';

/** Faults that a test can inject into the fake platform. */
export type PlatformFaults = {
	/** Whether every operation fails without an effect. */
	isDown: boolean;

	/** Delay of every operation in milliseconds. */
	delay: number;

	/** Number of further transactions that take effect, but whose responses are lost. */
	lostAnswers: number;

	/** Number of further transactions that take effect only after a delay, and whose responses are lost. */
	lateEffects: number;
};

/** Counts of operations since the start. */
export type PlatformCounts = {
	reads: number;
	writes: number;
};

const lateEffectDelayMs = 200;

/** Keeps rows and objects in memory, and applies the injected faults. */
export class FakePlatform implements TableService, ObjectStore {
	readonly faults: PlatformFaults = {
		isDown: false, delay: 0, lostAnswers: 0, lateEffects: 0,
	};

	readonly counts: PlatformCounts = {reads: 0, writes: 0};

	/** Called when the response of a transaction that took effect is lost, to inject a second fault at that point. */
	onLostResponse: (() => void) | undefined;
	readonly #rows = new Map<string, Row>();
	readonly #objects = new Map<string, Uint8Array>();
	readonly #clock: Clock;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	async readRow(key: string): Promise<Row | undefined> {
		await this.#applyFaults('read row');
		this.counts.reads++;
		return this.#rows.get(key);
	}

	async listRows(prefix: string): Promise<Row[]> {
		await this.#applyFaults('list rows');
		this.counts.reads++;
		const rows = [...this.#rows.values()].filter(row => row.key.startsWith(prefix));
		return rows.toSorted((left, right) => left.key < right.key ? -1 : 1);
	}

	async runTransaction(transaction: Transaction): Promise<TransactionOutcome> {
		await this.#applyFaults('run transaction');
		this.counts.writes++;
		if (this.faults.lateEffects > 0) {
			this.faults.lateEffects--;
			void this.#applyLater(transaction);
			throw new OutcomeUnknownError('run transaction', 'fake platform', 'the response was lost');
		}

		const outcome = this.#applyTransaction(transaction);
		if (this.faults.lostAnswers > 0) {
			this.faults.lostAnswers--;
			this.onLostResponse?.();
			throw new OutcomeUnknownError('run transaction', 'fake platform', 'the response was lost');
		}

		return outcome;
	}

	async writeObject(digest: string, bytes: Uint8Array): Promise<void> {
		await this.#applyFaults('write object');
		this.counts.writes++;
		this.#objects.set(digest, bytes);
	}

	async readObject(digest: string): Promise<Uint8Array | undefined> {
		await this.#applyFaults('read object');
		this.counts.reads++;
		return this.#objects.get(digest);
	}

	async #applyLater(transaction: Transaction): Promise<void> {
		await this.#clock.sleep(lateEffectDelayMs);
		this.#applyTransaction(transaction);
	}

	#applyTransaction(transaction: Transaction): TransactionOutcome {
		const isSatisfied = transaction.conditions.every(({key, revision}) => (this.#rows.get(key)?.revision ?? 0) === revision);
		if (!isSatisfied) {
			return 'conflict';
		}

		for (const {key, value} of transaction.writes) {
			const revision = (this.#rows.get(key)?.revision ?? 0) + 1;
			this.#rows.set(key, {key, value, revision});
		}

		return 'committed';
	}

	async #applyFaults(step: string): Promise<void> {
		if (this.faults.delay > 0) {
			await this.#clock.sleep(this.faults.delay);
		}

		if (this.faults.isDown) {
			throw new StepError(step, 'fake platform', 'the service is unavailable');
		}
	}
}
