/** Whether the local upstream has reached its full speed. */
import {type Clock} from '@ebonylead/base/base.js';
import {type LocalUpstream} from '@ebonylead/upstreams/local-upstream.js';

/** Time in milliseconds for which an upstream counts as cold after it was first seen. Upstreams have half their speed in their first three seconds. */
const minWarmUpMs = 3000;

/** Tracks the process of the local upstream, and how long it has been warm. */
export class WarmUp {
	readonly #upstream: Pick<LocalUpstream, 'incarnation' | 'warmupLeft'>;
	readonly #clock: Clock;
	#incarnation: string | undefined;
	#warmAt = Number.POSITIVE_INFINITY;

	constructor(upstream: Pick<LocalUpstream, 'incarnation' | 'warmupLeft'>, clock: Clock) {
		this.#upstream = upstream;
		this.#clock = clock;
	}

	/** Time in milliseconds since the upstream reached its full speed; 0 before. A process that this node has just seen counts as one that has just started. */
	get warmFor(): number {
		const {incarnation, warmupLeft} = this.#upstream;
		if (incarnation !== this.#incarnation) {
			this.#incarnation = incarnation;
			this.#warmAt = this.#clock.now() + Math.max(minWarmUpMs, warmupLeft);
		}

		return Math.max(0, this.#clock.now() - this.#warmAt);
	}
}
