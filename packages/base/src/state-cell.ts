/** A value that changes, with a `most` stream of its changes. */
import {EventEmitter} from 'node:events';
import {fromEvent, type Stream} from 'most';

const changeEvent = 'change';

/**
 * Holds the current value of a piece of state.
 *
 * Readers on a hot path use `value`; readers that react use `observeChanges`.
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

	/** Replaces the value by one reference assignment and tells the observers. */
	set(value: T): void {
		this.#value = value;
		this.#emitter.emit(changeEvent, value);
	}

	/** Returns a stream of every later value; it starts with the current one. */
	observeChanges(): Stream<T> {
		return fromEvent<T>(changeEvent, this.#emitter).startWith(this.#value);
	}
}
