/** The quota of one call at its entry node. */
import {type QuotaGate} from '@ebonylead/quotas/quota-gate.js';
import {type Refusal} from '@ebonylead/upstreams/upstreams.js';
import {buildQuotaRefusal} from './attempt-refusals.js';

/** What an entry node checks calls of organisations against. */
export type CallQuotas = {
	readonly gate: QuotaGate;

	/** Returns a promise while this node does not know yet which organisations are limited. */
	getFirstReply(): Promise<void> | undefined;

	/** Records a refused call. */
	recordRefusal(organisation: string): void;
};

/** Admits one call, and gives back what it took if it was not run. */
export class CallQuota {
	readonly #quotas: CallQuotas | undefined;
	#admitted: string | undefined;

	/** @param quotas Undefined where there are no quotas; then all calls are admitted. */
	constructor(quotas: CallQuotas | undefined) {
		this.#quotas = quotas;
	}

	/** Admits the call of an organisation, or returns a refusal. */
	async admit(organisation: string | undefined): Promise<Refusal | undefined> {
		if (this.#quotas === undefined || organisation === undefined) {
			return undefined;
		}

		const firstReply = this.#quotas.getFirstReply();
		if (firstReply) {
			await firstReply;
		}

		const decision = this.#quotas.gate.admit(organisation);
		if (decision.isAdmitted) {
			this.#admitted = organisation;
			return undefined;
		}

		this.#quotas.recordRefusal(organisation);
		return buildQuotaRefusal(organisation, decision);
	}

	/** Gives back what the call took, as it was not run; later calls of this have no effect. */
	release(): void {
		if (this.#admitted !== undefined) {
			this.#quotas?.gate.release(this.#admitted);
			this.#admitted = undefined;
		}
	}
}
