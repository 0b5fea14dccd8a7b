/** One call of another node: decodes its request, and encodes its result or refusal. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type AttemptRegistry, type RegisteredAttempt} from './attempt-registry.js';
import {decodeAttemptTimes, type AttemptTimes} from './attempt-times.js';
import {CallQuarantine} from './call-quarantine.js';
import {Cancellation} from './cancellation.js';
import {isClientConnected} from './client-presence.js';
import {copyRequestHeaders} from './forwarded-headers.js';
import {type MeshListenerDependencies} from './mesh-listener.js';
import {sendRefusal} from './refusals.js';
import {readBodyOrCancel, type RequestBody} from './request-body.js';
import {readPositiveInteger, readHeader, readNonNegativeInteger} from './request-headers.js';
import {SidecarCall, type SidecarRequest, type SidecarResult} from './sidecar-call.js';
import {decodeNotice, encodeNotice} from './upstream-notice.js';
import {
	meshHeaders, outcomes, refusalCauses, type SidecarRefusal,
} from './upstreams.js';

/** Interval of the interim responses while a call is pending. Only entry nodes of an earlier version, which send no attempt id, need them. */
const interimResponseIntervalMs = 100;
const firstAttempt = '1';

/** Longest delay in milliseconds of a timer of Node; a longer one fires at once. */
const maxTimerMs = (2 ** 31) - 1;

/** Share of accepted requests from which on the upstream counts as refusing none. */
const maxReportedAcceptance = 0.95;
const statusUnavailable = 503;

/** Receives one call of an entry node, and sends the outcome to it. */
export class MeshCall {
	readonly #dependencies: MeshListenerDependencies;
	readonly #attempts: AttemptRegistry;
	readonly #request: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #cancellation = new Cancellation();
	readonly #attemptId: string | undefined;
	readonly #times: AttemptTimes;
	readonly #quarantine: CallQuarantine;
	readonly #sidecarCall: SidecarCall;
	#attempt: RegisteredAttempt | undefined;
	#body: RequestBody;

	constructor(dependencies: MeshListenerDependencies, attempts: AttemptRegistry, request: IncomingMessage, response: ServerResponse) {
		this.#dependencies = dependencies;
		this.#attempts = attempts;
		this.#request = request;
		this.#response = response;
		this.#attemptId = readHeader(request, meshHeaders.attemptId);
		this.#times = decodeAttemptTimes(request, dependencies.clock, dependencies.transitDelays);
		this.#quarantine = new CallQuarantine(dependencies.quarantine, request, readHeader(request, meshHeaders.caller), () => this.#body);
		this.#sidecarCall = new SidecarCall(dependencies, this.#decodeRequest());
	}

	/** Handles the call until its response or refusal is sent, or the call is cancelled. */
	async run(): Promise<void> {
		if (!this.#registerAttempt()) {
			this.#handleResult(this.#sidecarCall.refuse({
				status: statusUnavailable, outcome: outcomes.notRun, cause: refusalCauses.cancelled, reason: 'the entry node was told that this attempt had not arrived',
			}));
			return;
		}

		const deadlineTimer = setTimeout(() => {
			this.#cancellation.cancel(new Error('the deadline passed'));
		}, Math.min(maxTimerMs, Math.max(0, this.#times.timeLeft)));
		const interimTimer = this.#attemptId === undefined ? this.#startInterimResponses() : undefined;
		this.#response.on('close', () => {
			this.#attempt?.setEnded();
			if (!this.#response.writableFinished) {
				this.#cancellation.cancel(new Error('the caller closed its connection'));
			}
		});
		try {
			this.#handleResult(await this.#runArrived());
		} finally {
			clearTimeout(deadlineTimer);
			clearInterval(interimTimer);
		}
	}

	/** Registers the attempt if it has an id; returns false if it must not run. */
	#registerAttempt(): boolean {
		if (this.#attemptId === undefined) {
			return true;
		}

		this.#attempt = this.#attempts.register(this.#attemptId, this.#times.deadline);
		return this.#attempt !== undefined;
	}

	/** Sends interim responses, by which the entry node distinguishes a slow upstream from an unresponsive connection. */
	#startInterimResponses(): NodeJS.Timeout {
		return setInterval(() => {
			if (!this.#response.headersSent) {
				this.#response.writeProcessing();
			}
		}, interimResponseIntervalMs);
	}

	async #runArrived(): Promise<SidecarResult> {
		const refused = this.#sidecarCall.validateArrival();
		if (refused) {
			this.#setTransitHeader();
			return refused;
		}

		this.#body = await readBodyOrCancel(this.#request, this.#cancellation, this.#isRestHeldBack);
		if (!await isClientConnected(this.#request)) {
			this.#cancellation.cancel(new Error('the entry node closed its connection before the call was admitted'));
		}

		this.#quarantine.merge(this.#request.headers[meshHeaders.crashes]);
		return this.#sidecarCall.run(this.#body);
	}

	/** Whether the entry node sends the rest of the body only when this node asks for it. */
	get #isRestHeldBack(): boolean {
		return this.#request.headers[meshHeaders.restHeldBack] !== undefined;
	}

	#decodeRequest(): SidecarRequest {
		const request = this.#request;
		return {
			incoming: request,
			sender: 'another node',
			service: readHeader(request, meshHeaders.service),
			caller: readHeader(request, meshHeaders.caller) ?? '',
			organisation: readHeader(request, meshHeaders.organisation),
			route: readHeader(request, meshHeaders.route) ?? '',
			routeSlots: readPositiveInteger(request, meshHeaders.routeSlots),
			priority: readNonNegativeInteger(request, meshHeaders.priority),
			objective: readNonNegativeInteger(request, meshHeaders.objective),
			attempt: readHeader(request, meshHeaders.attempt) ?? firstAttempt,
			times: this.#times,
			quarantine: this.#quarantine,
			notice: decodeNotice(request.headers[meshHeaders.notice]),
			cancellation: this.#cancellation,
			copyHeaders: () => copyRequestHeaders(request.headers),
			onAdmitted: () => {
				this.#attempt?.setRunning();
			},
			onRun: () => {
				this.#requestRest();
			},
			response: this.#response,
			isForwardable: () => true,
			buildExtraHeaders: () => this.#buildStateHeaders(),
		};
	}

	/** Asks the entry node for the rest of a body that it holds back. */
	#requestRest(): void {
		if (this.#isRestHeldBack && !this.#response.destroyed) {
			this.#response.writeProcessing();
		}
	}

	/** Tells the entry node how long a late attempt was on its way, so that it notices if this node has misread its clock. */
	#setTransitHeader(): void {
		if (this.#times.timeLeft <= 0 && !this.#response.headersSent && !this.#response.destroyed) {
			this.#response.setHeader(meshHeaders.transit, String(Math.round(this.#times.transit)));
		}
	}

	/** Builds the headers that tell the entry node about the state of the upstream. */
	#buildStateHeaders(): Record<string, string> {
		const {admission, notice} = this.#dependencies.localUpstream;
		const headers: Record<string, string> = {[meshHeaders.load]: admission.load.toFixed(2)};
		if (notice !== undefined) {
			headers[meshHeaders.notice] = encodeNotice(notice);
		}

		if (admission.acceptance < maxReportedAcceptance) {
			headers[meshHeaders.acceptance] = admission.acceptance.toFixed(2);
		}

		const capacity = this.#dependencies.formatCapacity?.(readHeader(this.#request, meshHeaders.route) ?? '');
		if (capacity !== undefined) {
			headers[meshHeaders.capacity] = capacity;
		}

		return headers;
	}

	#handleResult(result: SidecarResult): void {
		if (result.kind === 'refused') {
			this.#sendRefusal(result.refusal);
		}
	}

	#sendRefusal(refusal: SidecarRefusal): void {
		if (!this.#response.headersSent && !this.#response.destroyed) {
			for (const [name, value] of Object.entries(this.#buildStateHeaders())) {
				this.#response.setHeader(name, value);
			}

			const crashes = this.#quarantine.encode();
			if (crashes !== undefined) {
				this.#response.setHeader(meshHeaders.crashes, crashes);
			}
		}

		sendRefusal(this.#response, refusal);
		this.#request.resume();
	}
}
