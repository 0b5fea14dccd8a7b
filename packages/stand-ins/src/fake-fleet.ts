/** Fleet of peer nodes in one process, on a fake network and in virtual time. */
import {setMaxListeners} from 'node:events';
import {createLogger, createPartLogger} from '@ebonylead/base/logs.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {defaultHeartbeatTimes} from '@ebonylead/peers/heartbeats.js';
import {PeerConfirmation} from '@ebonylead/peers/peer-confirmation.js';
import {PeerNode} from '@ebonylead/peers/peer-node.js';
import {formatAddress, getAddress} from '@ebonylead/peers/peers.js';
import {ActiveVersion} from '@ebonylead/rules/active-version.js';
import {FakeClock} from './fake-clock.js';
import {FakeNetwork} from './fake-network.js';

/** One node of a fake fleet. */
export type FakeNode = {
	readonly peers: PeerNode;
	readonly activeVersion: ActiveVersion;
	readonly address: string;
	readonly controller: AbortController;

	/** Whether the node learned that another one runs under its id. */
	isReplaced: boolean;

	/** Whether the node would serve calls. */
	isServing: boolean;

	/** Fingerprints of the requests in the crash records that this node received. */
	readonly crashFingerprints: string[];
};

const firstPort = 1000;
const confirmationIntervalMs = 500;
const log = createPartLogger(createLogger('silent'), 'peers');

/** Runs nodes, and records a violation whenever a node serves an older version than a node with its id served before. */
export class FakeFleet {
	readonly clock = new FakeClock();
	readonly network = new FakeNetwork(this.clock);
	readonly nodes: FakeNode[] = [];

	/** Descriptions of the cases in which a node served an older version than before. */
	readonly violations: string[] = [];
	readonly #seed: number;
	readonly #highestVersions = new Map<string, number>();
	#nextPort = firstPort;

	constructor(seed: number) {
		this.#seed = seed;
	}

	/** Starts nodes, which join through the first one. They serve at once, without confirmation of the version by peers. */
	async start(dataCentres: readonly string[]): Promise<void> {
		for (const [index, dataCentre] of dataCentres.entries()) {
			const node = await this.addNode(`n${index}`, dataCentre);
			this.#startServing(node);
		}
	}

	/** Starts a node, which joins through the first one that runs; an earlier node with the same id may still run. */
	async addNode(id: string, dataCentre: string): Promise<FakeNode> {
		const port = this.#nextPort++;
		const activeVersion = new ActiveVersion();
		const member = this.#buildMember(id, dataCentre, port);
		const address = getAddress(member);
		const node: FakeNode = {
			activeVersion,
			address: formatAddress(address),
			controller: new AbortController(),
			isReplaced: false,
			isServing: false,
			crashFingerprints: [],
			peers: new PeerNode({
				deployment: 'd',
				member,
				fanout: 3,
				times: defaultHeartbeatTimes,
				activeVersion,
				transport: this.network.createTransport(address),
				clock: this.clock,
				random: new SeededRandom(this.#seed + port),
				log,
				countControlBytes: () => 0,
				listQuarantined: () => [],
				listCalls: () => [],
				onCrashRecords(crashRecords) {
					node.crashFingerprints.push(...crashRecords.map(({fingerprint}) => fingerprint));
				},
				isReady: () => node.isServing,
				onReplaced() {
					node.isReplaced = true;
				},
			}),
		};
		setMaxListeners(0, node.controller.signal);
		this.#followVersion(node, id);
		this.network.addNode(address, node.peers);
		const first = this.nodes.find(other => !other.controller.signal.aborted);
		this.nodes.push(node);
		if (first) {
			await node.peers.join([getAddress(first.peers.self)]);
		}

		void node.peers.run(node.controller.signal);
		void this.#startServingWhenConfirmed(node);
		return node;
	}

	/** Kills a node: it stops without a message to the others. */
	kill(node: FakeNode): void {
		node.controller.abort();
		this.network.removeNode(getAddress(node.peers.self));
	}

	/** Nodes that were neither killed nor stopped. */
	get running(): FakeNode[] {
		return this.nodes.filter(node => !node.controller.signal.aborted);
	}

	/** Stops all nodes. */
	stop(): void {
		for (const node of this.nodes) {
			node.controller.abort();
		}
	}

	/** Serves once peers confirm the version, as a node does while the store is unavailable. */
	async #startServingWhenConfirmed(node: FakeNode): Promise<void> {
		const confirmation = new PeerConfirmation({
			peers: node.peers, activeVersion: node.activeVersion, random: new SeededRandom(this.#seed), log,
		});
		while (!node.isServing && !node.controller.signal.aborted) {
			await this.clock.sleep(confirmationIntervalMs, node.controller.signal);
			if (!node.isServing && await confirmation.confirm()) {
				this.#startServing(node);
			}
		}
	}

	#startServing(node: FakeNode): void {
		node.isServing = true;
		this.#recordVersion(node.peers.self.id, node.activeVersion.version);
	}

	#followVersion(node: FakeNode, id: string): void {
		void node.activeVersion.observeChanges().skip(1).observe(({encoded}) => {
			if (node.isServing && !node.controller.signal.aborted) {
				this.#recordVersion(id, encoded.snapshot.version);
			}
		});
	}

	#recordVersion(id: string, version: number): void {
		const highestVersion = this.#highestVersions.get(id) ?? 0;
		if (version < highestVersion) {
			this.violations.push(`${id} serves version ${version} after version ${highestVersion}`);
		}

		this.#highestVersions.set(id, Math.max(highestVersion, version));
	}

	#buildMember(id: string, dataCentre: string, port: number): Member {
		return {
			id,
			incarnation: this.clock.wallTime(),
			dataCentre,
			region: 'r',
			host: '10.0.0.1',
			peerPort: port,
			meshPort: port,
			state: MemberState.ALIVE,
			service: 's',
			upstreamState: UpstreamState.READY,
			slots: 9,
			instance: port,
		};
	}
}
