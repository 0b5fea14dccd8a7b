/** What admission control decides on, and what it decides. */
import {type Cancellation} from './cancellation.js';
import {type SidecarRefusal} from './upstreams.js';

/** A call that needs a slot of the upstream. */
export type AdmissionRequest = {
	/** Name of the caller; queued callers get slots in round robin. */
	readonly caller: string;

	/** Name of the organisation whose call it is; undefined on public routes, and where there are no organisations. */
	readonly organisation?: string;

	/** Monotonic time in milliseconds by which the call must have ended. */
	readonly deadline: number;

	/** Monotonic time in milliseconds by which the call should end to meet its latency objective. */
	readonly objective: number;

	/** Priority of the call; 0 is the highest. */
	readonly priority: number;

	/** Key of the matching rule. */
	readonly route: string;

	/** Maximum number of concurrent calls of the route; undefined for no limit of its own. */
	readonly routeSlots: number | undefined;

	/** Whether the call must run while no other call does, because an equal request was in flight when an upstream crashed. */
	readonly isExclusive?: boolean;

	/** Removes the call from the queue when its caller disconnects or its deadline passes. */
	readonly cancellation: Cancellation;
};

/** The decision on a call: a slot to be released when the call ends, or a refusal. */
export type Admission
	= | {
		readonly kind: 'admitted';

		/** Whether the call runs although the mean duration of its route says that it won't end in time. */
		readonly isTrial: boolean;

		/** Releases the slot. `isAccepted` is false if the upstream refused the call without running it; true if not given. */
		readonly release: (isAccepted?: boolean) => void;
	}
	| {readonly kind: 'refused'; readonly refusal: SidecarRefusal};
