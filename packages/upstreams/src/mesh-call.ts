/** One call at the node beside the upstream, from its arrival to its end. */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {describeError} from '@ebonylead/base/errors.js';
import {Cancellation} from './cancellation.js';
import {type InFlightCall} from './crash-detector.js';
import {computeFingerprint} from './fingerprint.js';
import {copyRequestHeaders, forwardRequest, type ForwardResult} from './forward.js';
import {type MeshListenerParts} from './mesh-listener.js';
import {quarantineTime, type Verdict} from './quarantine.js';
import {sendRefusal} from './refusals.js';
import {readBody, type RequestBody} from './request-body.js';
import {readCount, readHeader, readNumber} from './request-headers.js';
import {
	lastRank, meshHeaders, outcomes, refusalCauses, type NodeRefusal,
} from './upstreams.js';

/** Deadline in milliseconds of a call that carries none. */
const defaultDeadline = 2000;

/** Time in milliseconds after which the other node hears that the call is still alive; its patience is several times as long. */
const signOfLifePeriod = 100;
const goneRetryAfter = 1000;

/** An upstream that sheds calls beyond its slots has room again soon, in milliseconds. */
const shedRetryAfter = 200;
const firstAttempt = '1';
const statusBadGateway = 502;
const statusUnavailable = 503;
const statusTimeout = 504;

/** Admits one call, forwards it, and says truthfully how it ended. */
export class MeshCall {
	readonly #parts: MeshListenerParts;
	readonly #request: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #cancellation = new Cancellation();
	readonly #deadline: number;
	readonly #startedAt: number;
	#body: RequestBody;
	#crashes = 0;

	constructor(parts: MeshListenerParts, request: IncomingMessage, response: ServerResponse) {
		this.#parts = parts;
		this.#request = request;
		this.#response = response;
		this.#deadline = readCount(request, meshHeaders.deadline) ?? defaultDeadline;
		this.#startedAt = parts.clock.now();
	}

	/** Runs the call to its end. */
	async run(): Promise<void> {
		const timer = setTimeout(() => {
			this.#cancellation.cancel(new Error('the deadline passed'));
		}, this.#deadline);
		// An interim answer tells a slow upstream from a connection that went silent.
		const signs = setInterval(() => {
			if (!this.#response.headersSent) {
				this.#response.writeProcessing();
			}
		}, signOfLifePeriod);
		this.#response.on('close', () => {
			if (!this.#response.writableFinished) {
				this.#cancellation.cancel(new Error('the caller closed its connection'));
			}
		});
		try {
			await this.#admit();
		} finally {
			clearTimeout(timer);
			clearInterval(signs);
		}
	}

	async #admit(): Promise<void> {
		const {link} = this.#parts;
		const service = readHeader(this.#request, meshHeaders.service);
		if (service !== undefined && service !== link.status.value.service) {
			this.#refuse({
				status: statusUnavailable, outcome: outcomes.notRun, cause: refusalCauses.otherService, reason: `the upstream here is of "${link.status.value.service}", not of "${service}"`,
			});
			return;
		}

		const deadline = this.#startedAt + this.#deadline;
		const objective = readCount(this.#request, meshHeaders.objective);
		await this.#readBody();
		const verdict = this.#judge();
		if (verdict === 'quarantined') {
			this.#crashes = this.#parts.quarantine.countCrashes(this.#computeFingerprint());
			this.#refuse({
				status: statusUnavailable,
				outcome: outcomes.notRun,
				cause: refusalCauses.quarantined,
				reason: 'quarantined: upstreams died while this request was in flight',
				retryAfter: quarantineTime,
			});
			return;
		}

		const admission = await link.admission.enter({
			caller: readHeader(this.#request, meshHeaders.caller) ?? '',
			deadline,
			objective: objective === undefined ? deadline : this.#startedAt + objective,
			rank: readNumber(this.#request, meshHeaders.priority) ?? lastRank,
			route: readHeader(this.#request, meshHeaders.route) ?? '',
			routeSlots: readCount(this.#request, meshHeaders.routeSlots),
			isAlone: verdict === 'suspect',
			cancellation: this.#cancellation,
		});
		if (admission.kind === 'refused') {
			this.#refuse(admission.refusal);
			return;
		}

		try {
			await this.#run(verdict);
		} finally {
			admission.release();
		}
	}

	/** Judges the call by what this node, the fleet and an earlier try of the entry know. */
	#judge(): Verdict {
		const {quarantine} = this.#parts;
		const crashes = readCount(this.#request, meshHeaders.suspect);
		if (crashes !== undefined) {
			quarantine.merge([{fingerprint: this.#computeFingerprint(), crashes}]);
		}

		return quarantine.isEmpty ? 'clear' : quarantine.judge(this.#computeFingerprint());
	}

	async #run(verdict: Verdict): Promise<void> {
		const {crashes, quarantine} = this.#parts;
		const call: InFlightCall = {computeFingerprint: () => this.#computeFingerprint()};
		crashes.add(call);
		try {
			const result = await this.#forward();
			if (result.kind === 'answered' && verdict === 'suspect') {
				quarantine.recordSuccess(this.#computeFingerprint());
			}

			await this.#handleResult(result);
		} finally {
			crashes.remove(call);
		}
	}

	async #forward(): Promise<ForwardResult> {
		const {link} = this.#parts;
		if (link.pool === undefined) {
			return {kind: 'unsent', error: new Error('no upstream was announced')};
		}

		const {protocol, clock} = this.#parts;
		const headers = copyRequestHeaders(this.#request.headers);
		const timeLeft = Math.max(1, this.#startedAt + this.#deadline - clock.now());
		protocol.setRequestHeaders(headers, {
			timeLeft,
			attempt: readHeader(this.#request, meshHeaders.attempt) ?? firstAttempt,
			caller: readHeader(this.#request, meshHeaders.caller) ?? '',
			instance: link.instance,
		});
		return forwardRequest({
			dispatcher: link.pool,
			origin: link.origin,
			method: this.#request.method ?? 'GET',
			path: this.#request.url ?? '/',
			headers,
			body: this.#body,
			response: this.#response,
			cancellation: this.#cancellation,
			progressTimeout: this.#deadline,
			judgeAnswer: (status, answer) => protocol.judgeAnswer(status, answer, headers),
			isWanted: () => true,
			buildExtraHeaders: () => ({[meshHeaders.load]: link.admission.load.toFixed(2)}),
			isMeshHeaderDropped: true,
		});
	}

	async #handleResult(result: ForwardResult): Promise<void> {
		const {link, log} = this.#parts;
		switch (result.kind) {
			case 'answered':
			case 'rejected': {
				return;
			}

			case 'not-run': {
				if (result.isOtherInstance) {
					link.reportOtherInstance();
				}

				this.#refuse({
					status: statusUnavailable, outcome: outcomes.notRun, cause: refusalCauses.upstream, reason: result.reason, retryAfter: shedRetryAfter, hasArrived: true,
				});
				return;
			}

			case 'unsent': {
				if ((result.error as NodeJS.ErrnoException).code === 'ECONNREFUSED') {
					link.reportRefusedConnection();
				}

				this.#refuse({
					status: statusUnavailable,
					outcome: outcomes.notRun,
					cause: refusalCauses.unreachable,
					reason: `the upstream can not be reached: ${describeError(result.error)}`,
					retryAfter: goneRetryAfter,
				});
				return;
			}

			case 'unanswered': {
				await this.#handleNoAnswer(result.error);
				return;
			}

			case 'cut': {
				log.warn(`Cut an answer of upstream ${link.origin}: ${describeError(result.error)}`);
				await this.#countCrash();
			}
		}
	}

	async #handleNoAnswer(error: Error): Promise<void> {
		if (this.#cancellation.isCancelled) {
			this.#refuse({
				status: statusTimeout, outcome: outcomes.unknown, cause: refusalCauses.cancelled, reason: `the upstream did not answer: ${describeError(error)}`,
			});
			return;
		}

		await this.#countCrash();
		this.#refuse({
			status: statusBadGateway, outcome: outcomes.unknown, cause: refusalCauses.unanswered, reason: `the upstream did not answer: ${describeError(error)}`,
		});
	}

	async #countCrash(): Promise<void> {
		const {crashes, quarantine} = this.#parts;
		if (await crashes.handleLostConnection()) {
			this.#crashes = quarantine.countCrashes(this.#computeFingerprint());
		}
	}

	async #readBody(): Promise<void> {
		try {
			this.#body = await readBody(this.#request);
		} catch (error) {
			this.#cancellation.cancel(error as Error);
		}
	}

	#computeFingerprint(): string {
		const length = Number(this.#request.headers['content-length'] ?? 0);
		const body = this.#body === undefined || this.#body === this.#request ? length : this.#body as Buffer;
		return computeFingerprint(this.#request.method ?? 'GET', this.#request.url ?? '/', body);
	}

	#refuse(refusal: NodeRefusal): void {
		if (!this.#response.headersSent && !this.#response.destroyed) {
			this.#response.setHeader(meshHeaders.load, this.#parts.link.admission.load.toFixed(2));
			if (this.#crashes > 0) {
				this.#response.setHeader(meshHeaders.suspect, String(this.#crashes));
			}
		}

		const {decisions, link, protocol, clock, refusals} = this.#parts;
		refusals?.recordRefusal(refusal.cause, refusal.outcome);
		decisions.record({
			id: protocol.readRequestId(this.#request.headers),
			service: link.status.value.service,
			instance: link.instance,
			outcome: refusal.outcome,
			reason: refusal.reason,
			rank: readNumber(this.#request, meshHeaders.priority),
			objective: readNumber(this.#request, meshHeaders.objective),
			running: link.admission.running,
			waiting: link.admission.waiting,
			estimates: link.admission.estimates,
			deadline: this.#deadline,
			duration: Math.round(clock.now() - this.#startedAt),
		}, 'Refused a call of another node');
		sendRefusal(this.#response, refusal);
		this.#request.resume();
	}
}
