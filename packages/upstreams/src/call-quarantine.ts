/** What the quarantine means for one call, at either hop. */
import {type IncomingMessage} from 'node:http';
import {decodeCrashRecords, encodeCrashRecords} from './crash-record.js';
import {computeFingerprint} from './fingerprint.js';
import {type QuarantineStatus} from './crash-count.js';
import {LargeBody} from './large-body.js';
import {quarantineDurationMs, type Quarantine} from './quarantine.js';
import {type RequestBody} from './request-body.js';
import {outcomes, type Refusal} from './upstreams.js';

const statusUnavailable = 503;
const minServerErrorStatus = 500;

/** Statuses below 500 by which an upstream turns a request away. */
const refusalStatuses: ReadonlySet<number> = new Set([408, 421, 429]);

/** Computes the fingerprint of a call once, and only if crashes are known or one has happened. */
export class CallQuarantine {
	readonly #quarantine: Quarantine;
	readonly #request: IncomingMessage;
	readonly #caller: string | undefined;
	readonly #getBody: () => RequestBody;
	#fingerprint: string | undefined;

	/**
	 * @param caller Name of the caller, the same at both hops; undefined where it is not known.
	 * @param getBody Returns the body; called once it was read.
	 */
	constructor(quarantine: Quarantine, request: IncomingMessage, caller: string | undefined, getBody: () => RequestBody) {
		this.#quarantine = quarantine;
		this.#request = request;
		this.#caller = caller;
		this.#getBody = getBody;
	}

	get fingerprint(): string {
		this.#fingerprint ??= this.#computeFingerprint();
		return this.#fingerprint;
	}

	get status(): QuarantineStatus {
		return this.#quarantine.isEmpty ? 'clear' : this.#quarantine.getStatus(this.fingerprint);
	}

	/** Generation of a crash that a run of the request causes if it starts now. */
	get nextGeneration(): number {
		return this.#quarantine.isEmpty ? 1 : this.#quarantine.getNextGeneration(this.fingerprint);
	}

	/** Number of crashes that count against the request. */
	get crashCount(): number {
		return this.#quarantine.isEmpty ? 0 : this.#quarantine.countCrashes(this.fingerprint);
	}

	/** Merges what another node knows of the request, from a header. */
	merge(text: string | string[] | undefined): void {
		this.#quarantine.merge(decodeCrashRecords(text));
	}

	/** Encodes what is known of the request as a header; undefined if nothing counts against it. */
	encode(): string | undefined {
		return this.crashCount === 0 ? undefined : encodeCrashRecords(this.#quarantine.listRecords(this.fingerprint));
	}

	/** Records that the upstream responded to the call, which acquits the request if the response shows that it ran to its end. */
	recordResponse(status: number): void {
		if (isConclusiveStatus(status) && !this.#quarantine.isEmpty) {
			this.#quarantine.recordSuccess(this.fingerprint);
		}
	}

	/** Builds the refusal of a quarantined request, with the evidence. */
	buildRefusal(): Refusal {
		return {
			status: statusUnavailable,
			outcome: outcomes.notRun,
			reason: `quarantined: ${this.crashCount} upstreams crashed while this request was in flight (fingerprint ${this.fingerprint})`,
			retryAfter: quarantineDurationMs,
		};
	}

	#computeFingerprint(): string {
		const {method = 'GET', url = '/', headers} = this.#request;
		const body = this.#getBody() ?? '';
		return computeFingerprint({
			caller: this.#caller, method, host: headers.host ?? '', url, body: body instanceof LargeBody ? body.key : body,
		});
	}
}

/** Returns whether a response shows that its request ran to its end: an upstream that fails or refuses a request may not have reached what crashes others. */
function isConclusiveStatus(status: number): boolean {
	return status < minServerErrorStatus && !refusalStatuses.has(status);
}
