/** What nodes tell each other when the store does not answer them: the rules in force, and the members. */
import {pickInteger, type Clock, type Random} from '@ebonylead/base/base.js';
import {StepError, describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {MemberState, type Member} from '@ebonylead/peers/generated/peers.js';
import {type Membership} from '@ebonylead/peers/membership.js';
import {type AcceptedRules} from '@ebonylead/rules/rule-source.js';
import {statePath} from '@ebonylead/upstreams/mesh-listener.js';
import {Agent} from 'undici';

/** The answer of a node to a question about its state. */
export type PeerState = {
	/** Rules in force; undefined where the asker has them or later ones. */
	readonly rules: AcceptedRules | undefined;
	readonly members: readonly Member[];
};

/** What `PeerFollower` needs. */
export type PeerStateFetcherParts = {
	readonly self: Member;

	/** Hosts that may have a node, for a start at which the store does not answer. */
	readonly seedHosts: readonly string[];
	readonly membership: Membership;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;

	/** Whether the store does not answer this node. */
	readonly isStoreUnavailable: () => boolean;

	/** The version in force here. */
	readonly getVersion: () => number;

	/** Called with what a peer knows. */
	readonly onState: (state: PeerState) => void;
};

/** Pause between two questions while the store does not answer, in milliseconds: several fit into the time in which a change has to be in force. */
const fetchIntervalMs = 400;

/** Pause after a question about a version that was heard of, in milliseconds; the peer may have died meanwhile. */
const retryIntervalMs = 50;
const fetchTimeoutMs = 600;

/** Time in milliseconds for the store to bring a version that was heard of: a quarter of the time in which it must be in force. Peers' answers hold all rules. */
const storeGraceMs = 500;
const maxConnections = 2;
const statusOk = 200;

/** Asks peers when the store does not answer, or when a call told of a later version than the one in force. */
export class PeerStateFetcher {
	readonly #parts: PeerStateFetcherParts;
	readonly #agent = new Agent({connections: maxConnections, connect: {timeout: fetchTimeoutMs}});
	#reportedVersion = 0;
	#reportedOrigin = '';
	#wake: (() => void) | undefined;

	constructor(parts: PeerStateFetcherParts) {
		this.#parts = parts;
	}

	/** Notes the version in force at another node, as a call or an answer told. */
	recordVersion(version: number, origin: string): void {
		if (version > this.#reportedVersion && version > this.#parts.getVersion()) {
			this.#reportedVersion = version;
			this.#reportedOrigin = origin;
			this.#wake?.();
		}
	}

	/** Asks peers where needed until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			if (this.#isBehind && !this.#parts.isStoreUnavailable()) {
				await this.#parts.clock.sleep(storeGraceMs, signal);
			}

			if (this.#isBehind || this.#parts.isStoreUnavailable()) {
				await this.#fetchState(this.#isBehind ? this.#reportedOrigin : this.#choosePeer(), signal);
			}

			await this.#sleep(this.#isBehind ? retryIntervalMs : fetchIntervalMs, signal);
		}

		await this.#agent.destroy();
	}

	get #isBehind(): boolean {
		return this.#reportedVersion > this.#parts.getVersion();
	}

	async #fetchState(origin: string | undefined, signal: AbortSignal): Promise<void> {
		if (!origin) {
			return;
		}

		const {log, getVersion, onState, isStoreUnavailable} = this.#parts;
		// The store brings members by itself where it answers.
		const query = `version=${getVersion()}${isStoreUnavailable() ? '&members' : ''}`;
		const before = getVersion();
		try {
			const response = await this.#agent.request({
				origin, method: 'GET', path: `${statePath}?${query}`, signal: AbortSignal.any([signal, AbortSignal.timeout(fetchTimeoutMs)]),
			});
			if (response.statusCode !== statusOk) {
				throw new StepError('ask for state', origin, `status ${response.statusCode}`);
			}

			onState(await response.body.json() as PeerState);
			if (getVersion() > before) {
				log.info({origin, before, version: getVersion()}, 'A peer brought a later version');
			}
		} catch (error) {
			log.warn({origin, reason: describeError(error)}, 'A peer did not tell its state');
			this.#reportedOrigin = this.#choosePeer() ?? this.#reportedOrigin;
		}
	}

	#choosePeer(): string | undefined {
		const {membership, self, seedHosts, random} = this.#parts;
		const members = membership.listAll().filter(member => member.state === MemberState.ALIVE && member.id !== self.id);
		const sameDataCentre = members.filter(member => member.dataCentre === self.dataCentre);
		// Mostly near peers, as bytes between data centres cost; at times others, in case a whole data centre is cut off.
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
		await Promise.race([this.#parts.clock.sleep(duration, controller.signal), woken]);
		signal.removeEventListener('abort', stop);
		controller.abort();
	}
}
