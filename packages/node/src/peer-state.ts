/** Fetches the active rules and the members from other nodes while the store is unavailable or behind. */
import {pickInteger, type Clock, type Random} from '@ebonylead/base/base.js';
import {StepError, describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {MemberState, type Member} from '@ebonylead/peers/generated/peers.js';
import {type Membership} from '@ebonylead/peers/membership.js';
import {type AcceptedRules} from '@ebonylead/rules/rule-source.js';
import {statePath} from '@ebonylead/upstreams/mesh-listener.js';
import {Agent} from 'undici';

/** Response of a node to a request for its state. */
export type PeerState = {
	/** Active rules; undefined where the requester has the same version or a later one. */
	readonly rules: AcceptedRules | undefined;
	readonly members: readonly Member[];
};

/** Dependencies of `PeerStateFetcher`. */
export type PeerStateFetcherDependencies = {
	readonly self: Member;

	/** Hosts that may run a node; used while the store is unavailable and no other member is known. */
	readonly seedHosts: readonly string[];
	readonly membership: Membership;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;

	/** Whether the store is unavailable to this node. */
	readonly isStoreUnavailable: () => boolean;

	/** Returns the active version of this node. */
	readonly getVersion: () => number;

	/** Called with the state that a peer sent. */
	readonly onState: (state: PeerState) => void;
};

/** Interval between two fetches while the store is unavailable; several fit into the time within which a change must become active. */
const fetchIntervalMs = 400;

/** Interval while a reported version is still missing; short, as the peer that was asked may have died meanwhile. */
const retryIntervalMs = 50;
const fetchTimeoutMs = 600;

/** Time that the store has to deliver a reported version before a peer is asked, as the response of a peer holds all rules. A quarter of the time within which a version must become active. */
const storeGraceMs = 500;
const maxConnections = 2;
const statusOk = 200;

/** Fetches state from peers while the store is unavailable, or when a call reported a later version than the active one. */
export class PeerStateFetcher {
	readonly #dependencies: PeerStateFetcherDependencies;
	readonly #agent = new Agent({connections: maxConnections, connect: {timeout: fetchTimeoutMs}});
	#reportedVersion = 0;
	#reportedOrigin = '';
	#wake: (() => void) | undefined;

	constructor(dependencies: PeerStateFetcherDependencies) {
		this.#dependencies = dependencies;
	}

	/** Records the active version of another node, as reported by a request or a response of it. */
	recordVersion(version: number, origin: string): void {
		if (version > this.#reportedVersion && version > this.#dependencies.getVersion()) {
			this.#reportedVersion = version;
			this.#reportedOrigin = origin;
			this.#wake?.();
		}
	}

	/** Fetches state where needed until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			if (this.#isBehind && !this.#dependencies.isStoreUnavailable()) {
				await this.#dependencies.clock.sleep(storeGraceMs, signal);
			}

			if (this.#isBehind || this.#dependencies.isStoreUnavailable()) {
				await this.#fetchState(this.#isBehind ? this.#reportedOrigin : this.#choosePeer(), signal);
			}

			await this.#sleep(this.#isBehind ? retryIntervalMs : fetchIntervalMs, signal);
		}

		await this.#agent.destroy();
	}

	get #isBehind(): boolean {
		return this.#reportedVersion > this.#dependencies.getVersion();
	}

	async #fetchState(origin: string | undefined, signal: AbortSignal): Promise<void> {
		if (!origin) {
			return;
		}

		const {log, getVersion, onState, isStoreUnavailable} = this.#dependencies;
		// The store itself delivers the members while it is available.
		const query = `version=${getVersion()}${isStoreUnavailable() ? '&members' : ''}`;
		const before = getVersion();
		try {
			const response = await this.#agent.request({
				origin, method: 'GET', path: `${statePath}?${query}`, signal: AbortSignal.any([signal, AbortSignal.timeout(fetchTimeoutMs)]),
			});
			if (response.statusCode !== statusOk) {
				throw new StepError('fetch state', origin, `status ${response.statusCode}`);
			}

			onState(await response.body.json() as PeerState);
			if (getVersion() > before) {
				log.info({origin, before, version: getVersion()}, 'Fetched a later version from a peer');
			}
		} catch (error) {
			log.warn({origin, reason: describeError(error)}, 'Fetching the state of a peer failed');
			this.#reportedOrigin = this.#choosePeer() ?? this.#reportedOrigin;
		}
	}

	#choosePeer(): string | undefined {
		const {membership, self, seedHosts, random} = this.#dependencies;
		const members = membership.listAll().filter(member => member.state === MemberState.ALIVE && member.id !== self.id);
		const sameDataCentre = members.filter(member => member.dataCentre === self.dataCentre);
		// Mostly peers in the same data centre, as traffic between data centres costs; at times any peer, in case a whole data centre is cut off.
		const candidates = sameDataCentre.length > 0 && random.next() < 0.5 ? sameDataCentre : members;
		const origins = candidates.length > 0
			? candidates.map(member => `http://${member.host}:${member.meshPort}`)
			: seedHosts.map(host => `http://${host}:${self.meshPort}`);
		return origins[pickInteger(random, Math.max(1, origins.length))];
	}

	async #sleep(duration: number, signal: AbortSignal): Promise<void> {
		const controller = new AbortController();
		const woken = new Promise<void>(resolve => {
			this.#wake = resolve;
		});
		const stop = () => {
			controller.abort();
		};

		signal.addEventListener('abort', stop);
		await Promise.race([this.#dependencies.clock.sleep(duration, controller.signal), woken]);
		signal.removeEventListener('abort', stop);
		controller.abort();
	}
}
