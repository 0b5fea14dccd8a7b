/** Asking a process of an upstream whether it leaves. */
import {type UpstreamAnnouncement} from './upstreams.js';

/** What a process of an upstream said of itself when it was asked. */
export const upstreamConditions = {
	/** It serves, and does not leave. */
	ready: 'ready',

	/** It leaves or fails, or no longer runs at its address. */
	notReady: 'not-ready',

	/** It did not say. */
	unknown: 'unknown',
} as const;

/** One of `upstreamConditions`. */
export type UpstreamCondition = typeof upstreamConditions[keyof typeof upstreamConditions];

/** Asks processes of the local upstream. */
export type UpstreamCheck = {
	/** Asks the process that an announcement names. The promise is never rejected. */
	check(announcement: UpstreamAnnouncement): Promise<UpstreamCondition>;
};
