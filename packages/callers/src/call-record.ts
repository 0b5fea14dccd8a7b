/** What became of a call, for the log. */
import {type DecisionLog} from '@ebonylead/base/decision-log.js';
import {outcomes, type Refusal} from '@ebonylead/upstreams/upstreams.js';
import {callResults, type CallResult} from './call-metrics.js';
import {type CallRetries} from './call-retries.js';

/** The inputs that are known when a call ends. */
export type CallInputs = {
	readonly id: string | undefined;

	/** Key of the rule; undefined if none matched. */
	readonly route: string | undefined;
	readonly version: number;
	readonly service: string;

	/** Name of the organisation whose key the request had; undefined if it had none, or needed none. */
	readonly organisation?: string;

	/** Why the request belongs to no organisation, if it was refused for that. */
	readonly access?: string;

	/** Estimated milliseconds from the caller's first attempt at this call to its arrival here. */
	readonly age: number;
	readonly deadline: number;
	readonly duration: number;
};

const firstServerError = 500;

/** Collects what is logged of one call. */
export class CallRecord {
	result: CallResult = callResults.notRun;

	/** Status and reason of the refusal, if this node refused the call. */
	status = 0;
	reason = '';

	/** One line for each attempt that ended. */
	readonly #attempts: string[] = [];
	#retries: CallRetries | undefined;

	/** Sets what this node responded in place of an upstream. */
	setRefusal({status, reason, outcome}: Refusal): void {
		this.result = outcome === outcomes.notRun ? callResults.notRun : callResults.unknown;
		this.status = status;
		this.reason = reason;
	}

	/** Sets what decides on further attempts. */
	setRetries(retries: CallRetries): void {
		this.#retries = retries;
	}

	addAttempt(summary: string): void {
		this.#attempts.push(summary);
	}

	/** Whether the call got an upstream's response with a status below 500. */
	isSuccess(statusCode: number): boolean {
		return this.result === callResults.answered && statusCode < firstServerError;
	}

	/** Logs the call unless it was successful and not late, and adds it to the summary of its route. */
	log(decisionLog: DecisionLog, inputs: CallInputs, statusCode: number, isLate = false): void {
		this.#recordSummary(decisionLog, inputs, statusCode);
		if (this.isSuccess(statusCode) && !isLate) {
			return;
		}

		const {
			id, route, age, version, service, organisation, access, deadline, duration,
		} = inputs;
		decisionLog.record({
			id,
			route,
			age: Math.round(age),
			version,
			service,
			organisation,
			access,
			result: this.result,
			status: this.status === 0 ? statusCode : this.status,
			reason: this.reason,
			asked: this.#attempts,
			notRetried: this.#retries?.obstacle,
			deadline: Math.round(deadline),
			duration: Math.round(duration),
		}, this.isSuccess(statusCode) ? 'Ended a call after its objective' : 'Ended a call');
	}

	#recordSummary({summaries}: DecisionLog, {route, duration}: CallInputs, statusCode: number): void {
		if (route === undefined) {
			return;
		}

		const {obstacle} = this.#retries ?? {};
		const outcome = this.isSuccess(statusCode) ? 'answered' : `${this.status === 0 ? statusCode : this.status}${obstacle === undefined ? '' : `, ${obstacle}`}`;
		summaries.record(route, outcome, {[this.isSuccess(statusCode) ? 'answered' : 'failed']: duration});
	}
}
