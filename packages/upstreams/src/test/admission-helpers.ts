/** Helpers of the tests of admission control. */
import {Cancellation} from '../cancellation.js';
import {type AdmissionControl} from '../admission.js';
import {type Admission, type AdmissionRequest} from '../admission-request.js';

const farDeadline = 1_000_000;

export function buildRequest(change: Partial<AdmissionRequest> = {}): AdmissionRequest {
	return {
		caller: 'c', deadline: farDeadline, objective: farDeadline, priority: 0, route: 'r', routeSlots: undefined, cancellation: new Cancellation(), ...change,
	};
}

export function release(admission: Admission): void {
	if (admission.kind === 'admitted') {
		admission.release();
	}
}

/** Submits a request; the returned object holds its admission once it is decided. */
export function submit(control: AdmissionControl, request: AdmissionRequest): {result: Admission | undefined} {
	const tracked: {result: Admission | undefined} = {result: undefined};
	void control.admit(request).then(admission => {
		tracked.result = admission;
	});
	return tracked;
}

export async function waitForImmediate(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}
