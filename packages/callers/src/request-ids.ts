/** Identifiers of calls, unique across all nodes and restarts. */
import {type Random} from '@ebonylead/base/base.js';

const radix = 36;
const prefixLength = 10;

/** Creates identifiers from a random prefix and a counter, which is cheap enough for every call. */
export class RequestIds {
	readonly #prefix: string;
	#count = 0;

	constructor(random: Random) {
		this.#prefix = random.next().toString(radix).slice(2, 2 + prefixLength);
	}

	/** Returns the next identifier. */
	create(): string {
		this.#count++;
		return `${this.#prefix}-${this.#count.toString(radix)}`;
	}
}
