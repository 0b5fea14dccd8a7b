/** Refusals by admission control. */
import {
	capacityLimits, outcomes, refusalCauses, type CapacityLimit, type SidecarRefusal, type RefusalCause,
} from './upstreams.js';

/** Why admission control refuses a call. */
export type AdmissionRefusalCause = Exclude<RefusalCause, 'other-service' | 'quarantined' | 'upstream' | 'foreign-response' | 'unreachable' | 'unanswered'>;

const statusUnavailable = 503;

const reasons: Readonly<Record<AdmissionRefusalCause, string>> = {
	[refusalCauses.deadline]: 'no slot comes free before the deadline',
	[refusalCauses.deadlineNear]: 'the deadline came too close while the call waited',
	[refusalCauses.objective]: 'no slot comes free in time for the objective',
	[refusalCauses.queueFull]: 'the queue is full',
	[refusalCauses.rateLimit]: 'the limit that the upstream named leaves no request in time',
	[refusalCauses.leaving]: 'the upstream is leaving',
	[refusalCauses.cancelled]: 'the caller left or the deadline passed while the call waited',
};

const limitsByCause: Readonly<Partial<Record<AdmissionRefusalCause, CapacityLimit>>> = {
	[refusalCauses.deadline]: capacityLimits.slots,
	[refusalCauses.objective]: capacityLimits.slots,
	[refusalCauses.rateLimit]: capacityLimits.rate,
};

/**
 * Builds the refusal of a call that got no slot.
 *
 * @param retryAfter Milliseconds after which the caller may retry.
 * @param isAboveShare Whether the call was above the share of its organisation; then the upstream may have capacity for others.
 * @param isContended Whether calls of its priority that can only be late get no slots.
 */
export function buildAdmissionRefusal(cause: AdmissionRefusalCause, retryAfter: number, {isAboveShare, isContended}: {readonly isAboveShare: boolean; readonly isContended: boolean}): SidecarRefusal {
	return {
		status: statusUnavailable,
		outcome: outcomes.notRun,
		cause,
		reason: reasons[cause],
		retryAfter,
		lacking: isAboveShare ? undefined : limitsByCause[cause],
		...(isContended && {isContended}),
	};
}
