/** Finds members that fail, and versions and memberships that differ. */
import {pickInteger, type Clock, type Random} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type AppliedVersion} from '@ebonylead/rules/applied-version.js';
import {type CatchUp} from './catch-up.js';
import {MemberState, type BeatReply, type Member} from './generated/peers.js';
import {type Membership} from './membership.js';
import {type Outbox} from './outbox.js';
import {getAddress, type PeerTransport} from './peers.js';
import {type SelfRecord} from './self-record.js';

/** Times of the failure detector in milliseconds. */
export type HeartbeatTimes = {
	/** Time between two heartbeats to the same member. */
	readonly period: number;

	/** Time after which a heartbeat counts as failed. */
	readonly timeout: number;

	/** Time that a suspected member has to refute. */
	readonly suspicion: number;

	/** Time between two heartbeats to random members of the whole deployment. */
	readonly randomPeriod: number;
};

/** The times that nodes use unless the settings say otherwise. */
export const defaultHeartbeatTimes: HeartbeatTimes = {
	period: 1000,
	timeout: 800,
	suspicion: 4000,
	randomPeriod: 5000,
};

/** What `Heartbeats` needs. */
export type HeartbeatParts = {
	readonly deployment: string;
	readonly self: SelfRecord;
	readonly membership: Membership;
	readonly applied: AppliedVersion;
	readonly transport: PeerTransport;
	readonly catchUp: CatchUp;
	readonly outbox: Outbox;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
	readonly times: HeartbeatTimes;

	/** Called when a peer holds a record of this identity that has to be answered. */
	readonly onRecordOfSelf: (record: Member) => void;
};

/** Next members on the ring of the data centre that a node watches. */
const watchedSuccessors = 2;
const helperCount = 2;

/** One random heartbeat in this many goes to a member held for dead, to heal partitions. */
const deadProbeShare = 5;

/**
 * Watches the next members on the ring of the data centre, one task for each,
 * and sends heartbeats to random members of the whole deployment.
 */
export class Heartbeats {
	readonly #parts: HeartbeatParts;
	readonly #watched = new Map<string, AbortController>();
	readonly #suspected = new Map<string, number>();
	readonly #differing = new Set<string>();
	#signal: AbortSignal = AbortSignal.abort();

	constructor(parts: HeartbeatParts) {
		this.#parts = parts;
	}

	/** Runs until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		this.#signal = signal;
		const {membership} = this.#parts;
		const subscription = membership.observeChanges().subscribe({
			next: () => {
				this.#updateWatched();
			},
			error: () => undefined,
			complete: () => undefined,
		});
		await Promise.all([this.#runRandom(signal), this.#runSuspicions(signal)]);
		subscription.unsubscribe();
		for (const controller of this.#watched.values()) {
			controller.abort();
		}
	}

	/**
	 * Takes part in a suspicion that another node raised.
	 *
	 * Only watchers do: if every node did, every node would spread the death.
	 */
	noteSuspicion(member: Member): void {
		if (this.#watched.has(member.id)) {
			this.#startSuspicion(member);
		}
	}

	#updateWatched(): void {
		if (this.#signal.aborted) {
			return;
		}

		const targets = new Set(this.#listSuccessors().map(member => member.id));
		for (const [id, controller] of this.#watched) {
			if (!targets.has(id)) {
				controller.abort();
				this.#watched.delete(id);
			}
		}

		for (const id of targets) {
			if (!this.#watched.has(id)) {
				const controller = new AbortController();
				this.#watched.set(id, controller);
				void this.#watch(id, controller.signal);
			}
		}
	}

	#listSuccessors(): Member[] {
		const {membership, self} = this.#parts;
		const ring = membership.listActive(self.member.dataCentre);
		const start = ring.findIndex(known => known.member.id === self.member.id);
		const count = Math.min(watchedSuccessors, ring.length - 1);
		return Array.from({length: Math.max(0, count)}, (_, index) => ring[(start + 1 + index) % ring.length]!.member);
	}

	async #watch(id: string, signal: AbortSignal): Promise<void> {
		const {clock, random, times, membership} = this.#parts;
		await clock.sleep(times.period * random.next(), signal);
		while (!signal.aborted && !this.#signal.aborted) {
			const member = membership.findMember(id);
			if (member) {
				await this.#beat(member);
			}

			await clock.sleep(times.period, signal);
		}
	}

	async #runRandom(signal: AbortSignal): Promise<void> {
		const {clock, random, times} = this.#parts;
		while (!signal.aborted) {
			await clock.sleep(times.randomPeriod * (0.5 + random.next()), signal);
			const member = this.#pickRandom();
			if (member && !signal.aborted) {
				await this.#beat(member);
			}
		}
	}

	#pickRandom(): Member | undefined {
		const {membership, random, self} = this.#parts;
		const isDeadWanted = pickInteger(random, deadProbeShare) === 0;
		const wanted = membership.listAll().filter(member =>
			member.id !== self.member.id && (member.state === MemberState.DEAD) === isDeadWanted && member.state !== MemberState.LEFT);
		return wanted[pickInteger(random, wanted.length)];
	}

	async #beat(member: Member): Promise<void> {
		const {deployment, self, applied, membership, transport, times, log} = this.#parts;
		const request = {
			deployment, sender: self.member, version: applied.version, membershipHash: membership.hash,
		};
		let reply: BeatReply;
		try {
			reply = await transport.beat(getAddress(member), request, times.timeout);
		} catch (error) {
			log.debug(`No heartbeat from "${member.id}": ${describeError(error)}`);
			await this.#confirmFailure(member);
			return;
		}

		if (reply.id !== member.id) {
			// Another identity answers at this address, so that the VM was replaced.
			this.#spread({...member, state: MemberState.DEAD});
			return;
		}

		await this.#compare(member, reply);
	}

	async #compare(member: Member, reply: BeatReply): Promise<void> {
		const {applied, membership, catchUp, onRecordOfSelf} = this.#parts;
		membership.recordVersion(member.id, reply.version);
		if (reply.recordOfSender) {
			onRecordOfSelf(reply.recordOfSender);
		}

		if (reply.version > applied.version) {
			await catchUp.fetchVersion(getAddress(member));
		}

		await this.#compareMemberships(member, reply.membershipHash);
	}

	/** Changes on their way make memberships differ for a moment, so only a second difference counts. */
	async #compareMemberships(member: Member, hash: number): Promise<void> {
		if (hash === this.#parts.membership.hash) {
			this.#differing.delete(member.id);
			return;
		}

		if (!this.#differing.delete(member.id) && member.state === MemberState.ALIVE) {
			this.#differing.add(member.id);
			return;
		}

		await this.#parts.catchUp.syncMembers(getAddress(member));
	}

	/** Asks other members before a member is suspected: the link may be at fault. */
	async #confirmFailure(member: Member): Promise<void> {
		if (member.state !== MemberState.ALIVE || this.#signal.aborted) {
			return;
		}

		const {deployment, transport, times} = this.#parts;
		const probes = this.#pickHelpers(member).map(async helper => {
			const reply = await transport.probe(getAddress(helper), {deployment, host: member.host, port: member.peerPort}, times.timeout * 2);
			return reply.isReached;
		});
		const results = await Promise.allSettled(probes);
		const isReached = results.some(result => result.status === 'fulfilled' && result.value);
		const current = this.#parts.membership.findMember(member.id);
		if (!isReached && current?.incarnation === member.incarnation && current.state === MemberState.ALIVE) {
			this.#parts.log.warn(`Suspects "${member.id}": no heartbeat, and no helper reaches it`);
			this.#spread({...member, state: MemberState.SUSPECT});
		}
	}

	#pickHelpers(member: Member): Member[] {
		const {membership, random, self} = this.#parts;
		const others = membership.listAll().filter(other =>
			other.state === MemberState.ALIVE && other.id !== member.id && other.id !== self.member.id);
		return Array.from({length: Math.min(helperCount, others.length)}, () => others.splice(pickInteger(random, others.length), 1)[0]!);
	}

	async #runSuspicions(signal: AbortSignal): Promise<void> {
		const {clock, membership, times, log} = this.#parts;
		while (!signal.aborted) {
			await clock.sleep(times.period / 2, signal);
			for (const [id, since] of this.#suspected) {
				const member = membership.findMember(id);
				if (member?.state !== MemberState.SUSPECT) {
					this.#suspected.delete(id);
				} else if (clock.now() - since > times.suspicion) {
					this.#suspected.delete(id);
					log.warn(`Holds "${id}" for dead: it did not refute`);
					this.#spread({...member, state: MemberState.DEAD});
				}
			}
		}
	}

	#startSuspicion(member: Member): void {
		if (!this.#suspected.has(member.id)) {
			this.#suspected.set(member.id, this.#parts.clock.now());
		}
	}

	#spread(record: Member): void {
		const {membership, clock, outbox} = this.#parts;
		if (membership.merge([record], clock.now()).length > 0) {
			outbox.add(record);
		}

		if (record.state === MemberState.SUSPECT) {
			this.#startSuspicion(record);
		}
	}
}
