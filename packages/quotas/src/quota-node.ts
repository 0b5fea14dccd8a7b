/** Exchanges reports and limits with the quota home, or is the quota home. */
import {type Clock, type Random} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {QuotaGate} from './quota-gate.js';
import {QuotaHome} from './quota-home.js';
import {QuotaLedger} from './quota-ledger.js';
import {
	decodeMessage, decodeReply, encodeReply, encodeReport,
} from './quota-messages.js';
import {
	type Quota, type QuotaBounds, type QuotaReply, type QuotaReport,
} from './quotas.js';

/** Sends a message to the node at an origin, and returns its response. */
export type QuotaTransport = {
	send(origin: string, text: string): Promise<string>;
};

/** Dependencies of `QuotaNode`. */
export type QuotaNodeDependencies = {
	readonly id: string;
	readonly bounds: QuotaBounds;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	readonly transport: QuotaTransport;

	/** Lists the members that are alive, by rank as home. */
	readonly listRanked: () => readonly Member[];

	/** Finds a member. */
	readonly findMember: (id: string) => Member | undefined;

	/** Returns the number of members that have not left. */
	readonly getMemberCount: () => number;
};

/** Exclusive upper bound of the random number that identifies a process. */
const instanceLimit = 0x1_00_00_00_00;

/** Longest time in milliseconds for which a request waits for the first response of a home to this process. */
const firstReplyTimeoutMs = 300;

/** The quotas of one node: its gate, its reports, and the ledger for the case that it is the home. */
export class QuotaNode {
	readonly gate: QuotaGate;
	readonly ledger: QuotaLedger;
	readonly #dependencies: QuotaNodeDependencies;
	readonly #home: QuotaHome;
	readonly #startedAt: number;
	#quotaCount = 0;
	#homeId = '';

	/** Ends the wait for the next report. */
	#wake = new AbortController();
	readonly #firstReply: Promise<void>;
	#resolveFirstReply: (() => void) | undefined;

	constructor(dependencies: QuotaNodeDependencies) {
		const {id, bounds, clock, random, getMemberCount} = dependencies;
		this.#dependencies = dependencies;
		this.#startedAt = clock.now();
		this.#home = new QuotaHome(dependencies);
		this.ledger = new QuotaLedger({clock, bounds, getMemberCount});
		this.gate = new QuotaGate({
			node: id, instance: Math.floor(random.next() * instanceLimit), clock, random, getMemberCount, onDue: () => {
				this.#wake.abort();
			},
		});
		this.#firstReply = new Promise(resolve => {
			this.#resolveFirstReply = resolve;
		});
	}

	/** Number of organisations with a quota. */
	get quotaCount(): number {
		return this.#quotaCount;
	}

	/** Identifier of the home that responded last; empty if none has. */
	get homeId(): string {
		return this.#homeId;
	}

	/** Sets the quotas of a new version. */
	setQuotas(quotas: readonly Quota[]): void {
		this.#quotaCount = quotas.length;
		this.gate.setQuotas(quotas);
		this.ledger.setQuotas(quotas);
		this.#wake.abort();
	}

	/** Returns a promise while a node that has just started does not know the limits yet; undefined afterwards. */
	getFirstReply(): Promise<void> | undefined {
		if (this.gate.isKnown || this.#quotaCount === 0 || this.#dependencies.clock.now() - this.#startedAt > firstReplyTimeoutMs) {
			return undefined;
		}

		return this.#firstReply;
	}

	/**
	 * Handles a message of another node, and returns the response.
	 *
	 * @throws StepError if the message is invalid.
	 */
	handleMessage(text: string): string {
		const message = decodeMessage(text);
		if (message.kind === 'report') {
			return encodeReply(this.#receive(message.report));
		}

		this.gate.handleUpdate(message.reply);
		this.#reconsider(message.reply.otherHome);
		return encodeReply({isComplete: false, limits: []});
	}

	/** Sends reports until the signal is aborted. While there are no quotas, none are sent. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock} = this.#dependencies;
		void this.#endFirstWait(signal);
		signal.addEventListener('abort', () => {
			this.#wake.abort();
		});
		while (!signal.aborted) {
			const wait = this.#quotaCount === 0 ? Number.POSITIVE_INFINITY : this.gate.dueAt - clock.now();
			await (wait > 0 ? this.#sleep(wait) : this.#report());
		}
	}

	/** Lets the requests that wait for the first response go on without it. */
	async #endFirstWait(signal: AbortSignal): Promise<void> {
		await this.#dependencies.clock.sleep(firstReplyTimeoutMs, signal);
		this.#resolveFirstReply?.();
	}

	/** Waits until the next report may be due. */
	async #sleep(duration: number): Promise<void> {
		this.#wake = new AbortController();
		await (Number.isFinite(duration) ? this.#dependencies.clock.sleep(duration, this.#wake.signal) : waitForAbort(this.#wake.signal));
	}

	async #report(): Promise<void> {
		const {id, log, transport} = this.#dependencies;
		const report = this.gate.buildReport();
		const member = this.#home.find();
		if (member === undefined) {
			this.gate.recordFailure();
			return;
		}

		try {
			const reply = member.id === id ? this.#receive(report) : decodeReply(await transport.send(getOrigin(member), encodeReport(report)));
			this.#home.recordResponse(member.id);
			this.#recordHome(member.id);
			this.gate.handleReply(report.number, reply);
			this.#reconsider(reply.otherHome);
			this.#resolveFirstReply?.();
		} catch (error) {
			this.gate.recordFailure();
			this.#home.recordFailure(member.id, (error as NodeJS.ErrnoException).code === 'ECONNREFUSED');
			log.warn({
				home: member.id, isIsolated: this.gate.isIsolated, usages: report.usages.length, reason: describeError(error),
			}, 'The quota home does not respond');
		}
	}

	/** Counts a report as the home. */
	#receive(report: QuotaReport): QuotaReply {
		const reply = this.ledger.receive(report);
		const update = this.ledger.takeUpdate(report.node);
		if (update) {
			const {log} = this.#dependencies;
			log.info({nodes: update.nodes.length, reporters: this.ledger.reporterCount, limits: reply.limits}, 'Organisations exceed their quotas');
			const text = encodeReply(update.reply);
			for (const node of update.nodes) {
				void this.#sendUpdate(node, update.reply, text);
			}
		}

		return this.#homeId === '' || this.#homeId === this.#dependencies.id ? reply : {...reply, otherHome: this.#homeId};
	}

	async #sendUpdate(node: string, reply: QuotaReply, text: string): Promise<void> {
		const {id, findMember, transport, log} = this.#dependencies;
		if (node === id) {
			this.gate.handleUpdate(reply);
			return;
		}

		const member = findMember(node);
		try {
			await (member && transport.send(getOrigin(member), text));
		} catch (error) {
			// The node gets the limits with the reply to its next report.
			log.debug({node, reason: describeError(error)}, 'Sending limits to a node failed');
		}
	}

	/** Reports soon to a member that is a home, if this node has left it out. */
	#reconsider(home: string | undefined): void {
		if (home !== undefined && this.#home.reconsider(home)) {
			this.gate.setDue();
		}
	}

	#recordHome(id: string): void {
		if (id === this.#homeId) {
			return;
		}

		this.#dependencies.log.info({home: id, before: this.#homeId}, 'Reporting to a quota home');
		this.#homeId = id;
		if (id === this.#dependencies.id) {
			this.#announce();
		}
	}

	/** Tells all members that this node is a home, as those that left it out while it was away would share the quotas between two homes. */
	#announce(): void {
		const {id, listRanked} = this.#dependencies;
		const reply = {isComplete: false, limits: [], otherHome: id};
		const text = encodeReply(reply);
		for (const member of listRanked()) {
			if (member.id !== id) {
				void this.#sendUpdate(member.id, reply, text);
			}
		}
	}
}

async function waitForAbort(signal: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		});
	});
}

function getOrigin({host, meshPort}: Member): string {
	return `http://${host}:${meshPort}`;
}
