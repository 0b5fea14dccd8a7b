/** Fetches the active rules and the members from other nodes while the store is unavailable or behind. */
import {Buffer} from 'node:buffer';
import {gunzipSync} from 'node:zlib';
import {
	chooseInteger, computeBackoff, type Clock, type Random,
} from '@ebonylead/base/base.js';
import {StepError, describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {MemberState, type Member} from '@ebonylead/peers/generated/peers.js';
import {type Membership} from '@ebonylead/peers/membership.js';
import {statePath} from '@ebonylead/upstreams/mesh-listener.js';
import {Agent, type Dispatcher} from 'undici';
import {isMember} from './member-row.js';
import {type RulesUpdate} from './rules-history.js';

/** Maximum size of a state in bytes, which bounds the memory that a faulty peer can take. */
const maxStateBytes = 16 * 1024 * 1024;

/** Response of a node to a request for its state. */
export type PeerState = {
	/** Update to the active version; undefined if the requesting node has the same version or a later one. */
	readonly update: RulesUpdate | undefined;
	readonly members: readonly Member[];
};

/** Encodes the response to a request for the state of a node, from an update that is encoded already. */
export function encodeState(update: string | undefined, members: readonly Member[]): string {
	return `{${update === undefined ? '' : `"update":${update},`}"members":${JSON.stringify(members)}}`;
}

async function readState({headers, body}: Dispatcher.ResponseData): Promise<PeerState> {
	const bytes = Buffer.from(await body.arrayBuffer());
	const text = (headers['content-encoding'] === 'gzip' ? gunzipSync(bytes, {maxOutputLength: maxStateBytes}) : bytes).toString();
	const {update, members} = JSON.parse(text) as PeerState;
	return {update, members: members.filter(member => isMember(member) && typeof member.id === 'string' && Number.isSafeInteger(member.incarnation))};
}

/** Dependencies of `PeerStateFetcher`. */
export type PeerStateFetcherDependencies = {
	readonly self: Member;

	/** Hosts that may run a node; state is also fetched from them while the store is unavailable, and no other member is known or this node has no version yet. */
	readonly seedHosts: readonly string[];
	readonly membership: Membership;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;

	/** Whether the store is unavailable to this node. */
	readonly isStoreUnavailable: () => boolean;

	/** Returns the active version of this node. */
	readonly getVersion: () => number;

	/** Returns the versions that this node keeps, from which an update can start. */
	readonly listVersions: () => readonly number[];

	/** Called with the state that a peer sent; an error means that it could not be applied. */
	readonly onState: (state: PeerState) => void;
};

/** Interval between two fetches while the store is unavailable. A change must become active within 2 s, which leaves time for several fetches. */
const fetchIntervalMs = 400;

/** Bounds of the backoff after a failed fetch while a reported version is missing. The first one is short, as only the peer that was tried may have failed. */
const retryBackoffBaseMs = 100;
const maxRetryBackoffMs = 2000;

/** Longest time without a byte of a response. */
const silenceTimeoutMs = 600;

/** Longest time of a whole response; an update in full is about 40 kB. */
const fetchTimeoutMs = 3000;

/** Time that the reader or the store has to deliver a reported version before it is fetched from a peer. A tenth of the 2 s within which a version must become active. */
const deliveryGraceMs = 200;
const maxConnections = 2;
const statusOk = 200;

/** Fetches state from peers while the store is unavailable, or when a call reported a later version than the active one. */
export class PeerStateFetcher {
	readonly #dependencies: PeerStateFetcherDependencies;
	readonly #agent = new Agent({
		connections: maxConnections, connect: {timeout: silenceTimeoutMs}, headersTimeout: silenceTimeoutMs, bodyTimeout: silenceTimeoutMs, maxResponseSize: maxStateBytes,
	});

	#reportedVersion = 0;
	#reportedOrigin = '';
	#wake: (() => void) | undefined;
	#failures = 0;

	/** Whether the next update must be in full, as one could not be applied. */
	#needsWhole = false;

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

	/** Fetches state when needed until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			if (this.#isBehind && !this.#dependencies.isStoreUnavailable()) {
				await this.#dependencies.clock.sleep(deliveryGraceMs, signal);
			}

			if (this.#isBehind || this.#dependencies.isStoreUnavailable()) {
				await this.#fetchState(this.#isBehind ? this.#reportedOrigin : this.#choosePeer(), signal);
			}

			await this.#sleep(this.#isBehind ? this.#computeRetryDelay() : fetchIntervalMs, signal);
		}

		await this.#agent.destroy();
	}

	#computeRetryDelay(): number {
		return this.#failures === 0 ? 0 : computeBackoff(this.#dependencies.random, this.#failures, retryBackoffBaseMs, maxRetryBackoffMs);
	}

	get #isBehind(): boolean {
		return this.#reportedVersion > this.#dependencies.getVersion();
	}

	async #fetchState(origin: string | undefined, signal: AbortSignal): Promise<void> {
		if (!origin) {
			return;
		}

		const {
			log, getVersion, listVersions, onState, isStoreUnavailable,
		} = this.#dependencies;
		// While the store is available, it delivers the members.
		const query = `versions=${this.#needsWhole ? '' : listVersions().join(',')}${isStoreUnavailable() ? '&members' : ''}`;
		const before = getVersion();
		try {
			const response = await this.#agent.request({
				origin, method: 'GET', path: `${statePath}?${query}`, headers: {'accept-encoding': 'gzip'}, signal: AbortSignal.any([signal, AbortSignal.timeout(fetchTimeoutMs)]),
			});
			if (response.statusCode !== statusOk) {
				throw new StepError('fetch state', origin, `status ${response.statusCode}`);
			}

			const state = await readState(response);
			this.#needsWhole = true;
			onState(state);
			this.#needsWhole = false;
			this.#failures = getVersion() > before || !this.#isBehind ? 0 : this.#failures + 1;
			if (getVersion() > before) {
				log.info({origin, before, version: getVersion()}, 'Fetched a later version from a peer');
			} else if (this.#isBehind) {
				log.info({origin, version: before, reported: this.#reportedVersion}, 'A peer does not have the reported version');
				this.#chooseOtherOrigin();
			}
		} catch (error) {
			this.#failures++;
			log.warn({origin, reason: describeError(error)}, 'Fetching the state of a peer failed');
			this.#chooseOtherOrigin();
		}
	}

	#chooseOtherOrigin(): void {
		this.#reportedOrigin = this.#choosePeer() ?? this.#reportedOrigin;
	}

	#choosePeer(): string | undefined {
		const {
			membership, self, seedHosts, random, getVersion,
		} = this.#dependencies;
		const members = membership.listAll().filter(member => member.state === MemberState.ALIVE && member.id !== self.id);
		const sameDataCentre = members.filter(member => member.dataCentre === self.dataCentre);
		// Prefers peers in the same data centre, as traffic between data centres is expensive; any peer at times, in case the data centre is partitioned from the others.
		const candidates = sameDataCentre.length > 0 && random.next() < 0.5 ? sameDataCentre : members;
		const origins = candidates.map(member => `http://${member.host}:${member.meshPort}`);
		if (candidates.length === 0 || getVersion() === 0) {
			// Members that have no version either were restarted as well, and may know only each other.
			origins.push(...seedHosts.map(host => `http://${host}:${self.meshPort}`));
		}

		return origins[chooseInteger(random, Math.max(1, origins.length))];
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
