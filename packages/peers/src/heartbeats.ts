/** Detects failed members, and peers whose version or membership differs. */
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

/** Intervals and timeouts of the failure detector, in milliseconds. */
export type HeartbeatTimes = {
	/** Interval between two heartbeats to the same member. */
	readonly interval: number;

	/** Timeout of a heartbeat. */
	readonly timeout: number;

	/** How long a member must fail to reply, to direct and to indirect probes, before it is declared dead. */
	readonly suspicionTimeout: number;

	/** Mean interval between two heartbeats to random members of the whole deployment. */
	readonly randomInterval: number;
};

/** Times that nodes use unless the settings choose others. */
export const defaultHeartbeatTimes: HeartbeatTimes = {
	interval: 1000,
	timeout: 800,
	suspicionTimeout: 4000,
	randomInterval: 5000,
};

/** Times for deployments where low control traffic matters more than fast recovery from a missed push. */
export const lowTrafficHeartbeatTimes: HeartbeatTimes = {
	interval: 3000,
	timeout: 800,
	suspicionTimeout: 9000,
	randomInterval: 15_000,
};

/** Dependencies of `Heartbeats`. */
export type HeartbeatDependencies = {
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

	/** Called when a peer's record of this node differs from the node's own. */
	readonly onRecordOfSelf: (record: Member) => void;
};

/** Number of successors on the ring of the data centre that a node monitors. */
const watchedSuccessorCount = 2;

/** Number of members that are asked to probe a member that did not reply. */
const proberCount = 2;

/** Minimum number of failed rounds before a member is declared dead. */
const minFailures = 3;

/** One random heartbeat in this many goes to a member declared dead, so that partitions heal. */
const randomHeartbeatsPerDeadProbe = 5;

/** A timer that fires this late, in milliseconds, shows that this process itself was stalled; a timeout then says nothing about the member. */
const maxTimerDelayMs = 250;

/** The failed rounds of a suspected member so far. */
type Suspicion = {
	readonly since: number;
	failureCount: number;
};

/**
 * Monitors the next members on the ring of the data centre, one task for each,
 * and sends heartbeats to random members of the whole deployment.
 *
 * Suspicions are not shared: a member that stalls for less than the suspicion
 * timeout causes no push to other members. Only a death is sent to all members,
 * and a member that is still alive refutes it.
 */
export class Heartbeats {
	readonly #dependencies: HeartbeatDependencies;
	readonly #watchers = new Map<string, AbortController>();
	readonly #suspicions = new Map<string, Suspicion>();
	readonly #differingMembers = new Set<string>();
	#signal: AbortSignal = AbortSignal.abort();

	constructor(dependencies: HeartbeatDependencies) {
		this.#dependencies = dependencies;
	}

	/** Identities of the members that this node suspects. */
	get suspected(): string[] {
		return [...this.#suspicions.keys()];
	}

	/** Runs until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		this.#signal = signal;
		const {membership} = this.#dependencies;
		const subscription = membership.observeChanges().subscribe({
			next: () => {
				this.#updateWatchers();
			},
			error: () => undefined,
			complete: () => undefined,
		});
		await this.#runRandomHeartbeats(signal);
		subscription.unsubscribe();
		for (const controller of this.#watchers.values()) {
			controller.abort();
		}
	}

	#updateWatchers(): void {
		if (this.#signal.aborted) {
			return;
		}

		const watchedIds = new Set([...this.#listSuccessors().map(member => member.id), ...this.#suspicions.keys()]);
		for (const [id, controller] of this.#watchers) {
			if (!watchedIds.has(id)) {
				controller.abort();
				this.#watchers.delete(id);
			}
		}

		for (const id of watchedIds) {
			this.#startWatcher(id);
		}
	}

	#startWatcher(id: string): void {
		if (!this.#watchers.has(id)) {
			const controller = new AbortController();
			this.#watchers.set(id, controller);
			void this.#runWatcher(id, controller.signal);
		}
	}

	#listSuccessors(): Member[] {
		const {membership, self} = this.#dependencies;
		const ring = membership.listActive(self.member.dataCentre);
		const start = ring.findIndex(known => known.member.id === self.member.id);
		const count = Math.min(watchedSuccessorCount, ring.length - 1);
		return Array.from({length: Math.max(0, count)}, (_, index) => ring[(start + 1 + index) % ring.length]!.member);
	}

	/** Sends heartbeats to one member until it is no longer monitored. */
	async #runWatcher(id: string, signal: AbortSignal): Promise<void> {
		const {clock, random, times, membership} = this.#dependencies;
		await clock.sleep(times.interval * random.next(), signal);
		while (!signal.aborted && !this.#signal.aborted) {
			const member = membership.findMember(id);
			if (member === undefined || !isActive(member)) {
				this.#removeSuspicion(id);
				this.#updateWatchers();
				return;
			}

			await this.#sendHeartbeat(member);
			await clock.sleep(times.interval, signal);
		}
	}

	async #runRandomHeartbeats(signal: AbortSignal): Promise<void> {
		const {clock, random, times} = this.#dependencies;
		while (!signal.aborted) {
			await clock.sleep(times.randomInterval * (0.5 + random.next()), signal);
			this.#dependencies.membership.removeExpired(clock.now());
			const member = this.#chooseRandomMember();
			if (member && !signal.aborted) {
				await this.#sendHeartbeat(member);
			}
		}
	}

	#chooseRandomMember(): Member | undefined {
		const {membership, random, self} = this.#dependencies;
		const isDeadProbe = pickInteger(random, randomHeartbeatsPerDeadProbe) === 0;
		const candidates = membership.listAll().filter(member =>
			member.id !== self.member.id && member.state === (isDeadProbe ? MemberState.DEAD : MemberState.ALIVE));
		return candidates[pickInteger(random, candidates.length)];
	}

	/** Sends one heartbeat and handles the reply or the failure. Never throws, so that a failed round does not end the task that monitors the member. */
	async #sendHeartbeat(member: Member): Promise<void> {
		const {deployment, self, applied, membership, transport, times, clock, log} = this.#dependencies;
		const startedAt = clock.now();
		try {
			const reply = await transport.beat(getAddress(member), {
				deployment, sender: self.member, version: applied.version, membershipHash: membership.hash,
			}, times.timeout);
			this.#removeSuspicion(member.id);
			await this.#handleReply(member, reply);
		} catch (error) {
			log.debug(`Heartbeat to "${member.id}" failed: ${describeError(error)}`);
			if (clock.now() - startedAt < times.timeout + maxTimerDelayMs && isActive(member)) {
				await this.#handleFailure(member);
			}
		}
	}

	async #handleReply(member: Member, reply: BeatReply): Promise<void> {
		const {applied, membership, catchUp, onRecordOfSelf, log} = this.#dependencies;
		if (reply.id !== member.id) {
			log.warn(`"${reply.id}" replied at the address of "${member.id}": the VM was replaced`);
			this.#recordDeath(member);
			return;
		}

		membership.recordReportedVersion(member.id, reply.version);
		if (reply.recordOfSender) {
			onRecordOfSelf(reply.recordOfSender);
		}

		try {
			if (reply.version > applied.version) {
				await catchUp.fetchVersion(getAddress(member));
			}

			await this.#compareMemberships(member, reply.membershipHash);
		} catch (error) {
			log.debug(`Catching up from "${member.id}" failed: ${describeError(error)}`);
		}
	}

	/** Syncs members when a peer's hash differs twice in a row; a single difference may come from a change that is still being pushed. */
	async #compareMemberships(member: Member, hash: number): Promise<void> {
		if (hash === this.#dependencies.membership.hash) {
			this.#differingMembers.delete(member.id);
			return;
		}

		if (!this.#differingMembers.delete(member.id) && isActive(member)) {
			this.#differingMembers.add(member.id);
			return;
		}

		await this.#dependencies.catchUp.syncMembers(getAddress(member));
	}

	/** Asks other members to probe before a failure counts, as only the link from this node may be broken. */
	async #handleFailure(member: Member): Promise<void> {
		const {times, clock, log} = this.#dependencies;
		const suspicion = this.#suspicions.get(member.id) ?? {since: clock.now(), failureCount: 0};
		this.#suspicions.set(member.id, suspicion);
		this.#startWatcher(member.id);
		if (await this.#isReachedByProbers(member)) {
			this.#removeSuspicion(member.id);
			return;
		}

		suspicion.failureCount++;
		const isExpired = clock.now() - suspicion.since >= times.suspicionTimeout && suspicion.failureCount >= minFailures;
		const current = this.#dependencies.membership.findMember(member.id);
		if (isExpired && this.#suspicions.get(member.id) === suspicion && current?.incarnation === member.incarnation) {
			log.warn(`Declared "${member.id}" dead: ${suspicion.failureCount} heartbeats failed, and no other member reached it`);
			this.#recordDeath(current);
		}
	}

	async #isReachedByProbers(member: Member): Promise<boolean> {
		const {deployment, transport, times} = this.#dependencies;
		const probes = this.#chooseProbers(member).map(async prober => {
			const reply = await transport.probe(getAddress(prober), {deployment, host: member.host, port: member.peerPort}, times.timeout * 2);
			return reply.isReached;
		});
		const results = await Promise.allSettled(probes);
		return results.some(result => result.status === 'fulfilled' && result.value);
	}

	#chooseProbers(member: Member): Member[] {
		const {membership, random, self} = this.#dependencies;
		const others = membership.listAll().filter(other =>
			other.state === MemberState.ALIVE && other.id !== member.id && other.id !== self.member.id);
		return Array.from({length: Math.min(proberCount, others.length)}, () => others.splice(pickInteger(random, others.length), 1)[0]!);
	}

	#removeSuspicion(id: string): void {
		if (this.#suspicions.delete(id)) {
			this.#updateWatchers();
		}
	}

	#recordDeath(member: Member): void {
		const {membership, clock, outbox} = this.#dependencies;
		const record = {...member, state: MemberState.DEAD};
		this.#suspicions.delete(member.id);
		if (membership.merge([record], clock.now()).length > 0) {
			outbox.add(record);
		}
	}
}

function isActive(member: Member): boolean {
	return member.state === MemberState.ALIVE;
}
