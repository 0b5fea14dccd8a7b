/** A value whose changes can be observed as a stream of the `most` library. */
import {EventEmitter} from 'node:events';
import {fromEvent, type Stream} from 'most';

const changeEvent = 'change';

/**
 * Holds a value that is replaced as a whole.
 *
 * Code on a hot path reads `value`; code that reacts to changes uses `observeChanges`.
 */
export class StateCell<T> {
	#value: T;
	readonly #emitter = new EventEmitter().setMaxListeners(0);

	constructor(initial: T) {
		this.#value = initial;
	}

	/** The current value. */
	get value(): T {
		return this.#value;
	}

	/** Replaces the value with a single reference assignment, and notifies observers. */
	set(value: T): void {
		this.#value = value;
		this.#emitter.emit(changeEvent, value);
	}

	/** Returns a stream of the current value and every later one. */
	observeChanges(): Stream<T> {
		return fromEvent<T>(changeEvent, this.#emitter).startWith(this.#value);
	}
}
