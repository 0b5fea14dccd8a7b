/** Clock with virtual time for emulated loads, which advances from one event to the next. */
import {type Clock} from '@ebonylead/base/base.js';

type Sleeper = {
	readonly wakeAt: number;
	readonly order: number;
	readonly wake: () => void;
};

/** Clock whose time passes only in `run`, which wakes sleepers in the order of their times, and those of the same time in the order of their calls. */
export class EventClock implements Clock {
	#now = 0;
	#order = 0;

	/** Binary heap by time and order; its first sleeper wakes next. */
	readonly #heap: Sleeper[] = [];

	now(): number {
		return this.#now;
	}

	wallTime(): number {
		return Math.floor(this.#now);
	}

	async sleep(duration: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const wake = () => {
				signal?.removeEventListener('abort', wake);
				resolve();
			};

			signal?.addEventListener('abort', wake);
			this.#order++;
			this.#push({wakeAt: this.#now + Math.max(0, duration), order: this.#order, wake});
		});
	}

	/** Wakes all sleepers that are due up to a time in milliseconds. */
	async run(end: number): Promise<void> {
		await runPendingTasks();
		while (this.#heap.length > 0 && this.#heap[0]!.wakeAt <= end) {
			const next = this.#pop();
			this.#now = next.wakeAt;
			next.wake();
			await runPendingTasks();
		}

		this.#now = end;
	}

	#push(sleeper: Sleeper): void {
		const heap = this.#heap;
		let index = heap.push(sleeper) - 1;
		while (index > 0) {
			const parent = (index - 1) >> 1;
			if (!isBefore(heap[index]!, heap[parent]!)) {
				return;
			}

			[heap[index], heap[parent]] = [heap[parent]!, heap[index]!];
			index = parent;
		}
	}

	#pop(): Sleeper {
		const heap = this.#heap;
		const first = heap[0]!;
		const last = heap.pop()!;
		if (heap.length > 0) {
			heap[0] = last;
			this.#siftDown();
		}

		return first;
	}

	#siftDown(): void {
		const heap = this.#heap;
		let index = 0;
		for (;;) {
			const children = [(2 * index) + 1, (2 * index) + 2].filter(child => child < heap.length);
			const least = children.toSorted((left, right) => isBefore(heap[left]!, heap[right]!) ? -1 : 1)[0];
			if (least === undefined || !isBefore(heap[least]!, heap[index]!)) {
				return;
			}

			[heap[index], heap[least]] = [heap[least]!, heap[index]!];
			index = least;
		}
	}
}

function isBefore(left: Sleeper, right: Sleeper): boolean {
	return left.wakeAt < right.wakeAt || (left.wakeAt === right.wakeAt && left.order < right.order);
}

/** Runs the tasks that a sleeper's wake-up made ready. */
async function runPendingTasks(): Promise<void> {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
}
