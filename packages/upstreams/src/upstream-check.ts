/** Asking a process of an upstream whether it leaves. */
import {type UpstreamAnnouncement} from './upstreams.js';

/** Outcomes of asking a process of an upstream. Only `ready` shows that it stays. */
export const upstreamConditions = {
	/** It serves, and does not leave. */
	ready: 'ready',

	/** It leaves or fails, or no longer runs at its address. */
	notReady: 'not-ready',

	/** It was asked, and its answer did not arrive, or says neither. */
	unanswered: 'unanswered',

	/** It was not asked, as the path for it is not known. */
	unasked: 'unasked',
} as const;

/** One of `upstreamConditions`. */
export type UpstreamCondition = typeof upstreamConditions[keyof typeof upstreamConditions];

/** Asks processes of the local upstream. */
export type UpstreamCheck = {
	/** Asks the process that an announcement names. The promise is never rejected. */
	check(announcement: UpstreamAnnouncement): Promise<UpstreamCondition>;
};
