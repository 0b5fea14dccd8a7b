/** Fuzz case for peers: random faults and versions on a few nodes, then checks of the invariants of version distribution and membership. */
import {chooseInteger} from '@ebonylead/base/base.js';
import {type PushReply} from '@ebonylead/peers/generated/peers.js';
import {getAddress} from '@ebonylead/peers/peers.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {parseRuleFile} from '@ebonylead/rules/rule-file.js';
import {type EncodedSnapshot} from '@ebonylead/rules/rules.js';
import {emptySnapshot, encodeSnapshot} from '@ebonylead/rules/snapshot-codec.js';
import {computeDelta} from '@ebonylead/rules/snapshot-delta.js';
import {FakeFleet, type FakeNode} from './fake-fleet.js';

const dataCentres = ['a', 'a', 'a', 'b', 'b', 'c'];
const stepCount = 14;
const maxStepIntervalMs = 4000;

/** Time after the last fault within which all nodes must agree; long, as partitions heal only by the rare heartbeats to dead members. */
const convergenceTimeMs = 240_000;

/** Applies random faults and changes to a fleet, and collects violations. */
class FuzzRun {
	readonly violations: string[] = [];
	readonly #random: SeededRandom;
	readonly #fleet: FakeFleet;
	readonly #snapshots: EncodedSnapshot[] = [emptySnapshot];
	readonly #unresponsiveAddresses = new Set<string>();
	readonly #killed: Array<{readonly id: string; readonly dataCentre: string}> = [];

	constructor(seed: number) {
		this.#random = new SeededRandom(seed);
		this.#fleet = new FakeFleet(seed);
	}

	async run(): Promise<string[]> {
		await this.#fleet.start(dataCentres);
		await this.#fleet.clock.advance(3000);
		for (let step = 0; step < stepCount; step++) {
			this.#applyRandomChange();
			await this.#fleet.clock.advance(this.#random.next() * maxStepIntervalMs);
			this.#expectKnownDigests();
		}

		await this.#restoreNetwork();
		this.#expectConvergence();
		this.#fleet.stop();
		return [...this.violations, ...this.#fleet.violations];
	}

	#applyRandomChange(): void {
		switch (chooseInteger(this.#random, 7)) {
			case 0:
			case 1:
			case 2: {
				this.#applyNextVersion();
				break;
			}

			case 3: {
				this.#updateUnresponsive();
				break;
			}

			case 4: {
				this.#kill();
				break;
			}

			case 5: {
				this.#restartKilled();
				break;
			}

			default: {
				this.#sendOldDelta();
			}
		}
	}

	/** Applies the next version through one node, which sends it to the others; links may fail meanwhile. */
	#applyNextVersion(): void {
		const version = this.#snapshots.length;
		const rules = parseRuleFile('f', `GET a.example/${version % 3} -> s${version} # A`).unsafeCoerce();
		const previous = this.#snapshots.at(-1)!;
		const next = encodeSnapshot({version, rules: [...previous.snapshot.rules.filter(rule => rule.path !== rules.rules[0]!.path), ...rules.rules]});
		this.#snapshots.push(next);
		void applyAcceptedVersion(this.#chooseNode(), previous, next);
	}

	/** Sends the delta of a random version again; it may be the newest one. */
	#sendOldDelta(): void {
		if (this.#snapshots.length > 2) {
			const index = 1 + chooseInteger(this.#random, this.#snapshots.length - 1);
			void this.#chooseNode().peers.sendVersion(this.#snapshots[index]!, computeDelta(this.#snapshots[index - 1]!.snapshot, this.#snapshots[index]!));
		}
	}

	/** Makes a node unresponsive, or responsive again. */
	#updateUnresponsive(): void {
		const node = this.#chooseNode();
		if (!this.#unresponsiveAddresses.delete(node.address)) {
			this.#unresponsiveAddresses.add(node.address);
		}

		this.#fleet.network.linkRule = (from, to) => this.#unresponsiveAddresses.has(from) || this.#unresponsiveAddresses.has(to) ? 'silence' : 'pass';
	}

	#kill(): void {
		if (this.#fleet.running.length > 3) {
			const node = this.#chooseNode();
			this.#killed.push({id: node.peers.self.id, dataCentre: node.peers.self.dataCentre});
			this.#fleet.kill(node);
		}
	}

	/** Starts a node with the id of a killed one; it must not serve an older version than that one did. */
	#restartKilled(): void {
		const killed = this.#killed.pop();
		if (killed) {
			void this.#fleet.addNode(killed.id, killed.dataCentre);
		}
	}

	async #restoreNetwork(): Promise<void> {
		this.#fleet.network.linkRule = () => 'pass';
		await this.#joinIsolatedNodes();
		await this.#fleet.clock.advance(convergenceTimeMs);
	}

	/** Joins nodes that found no peer at their start to the others, as `SeedMaintainer` does with the seeds in the store. */
	async #joinIsolatedNodes(): Promise<void> {
		const {running} = this.#fleet;
		for (const node of running) {
			if (node.peers.membership.aliveCount === 1) {
				await node.peers.join(running.filter(other => other !== node).map(other => getAddress(other.peers.self)));
			}
		}
	}

	#expectKnownDigests(): void {
		for (const node of this.#fleet.running) {
			const {encoded} = node.activeVersion.current;
			if (encoded.digest !== this.#snapshots[encoded.snapshot.version]?.digest) {
				this.violations.push(`${node.peers.self.id} applied a snapshot that differs from version ${encoded.snapshot.version}`);
			}
		}
	}

	#expectConvergence(): void {
		const {running} = this.#fleet;
		const newest = Math.max(...running.map(node => node.activeVersion.version));
		for (const node of running) {
			if (node.activeVersion.version !== newest) {
				this.violations.push(`${node.peers.self.id} stays at version ${node.activeVersion.version} of ${newest}`);
			}

			if (node.peers.membership.aliveCount !== running.length) {
				this.violations.push(`${node.peers.self.id} knows ${node.peers.membership.aliveCount} of ${running.length} members`);
			}
		}
	}

	#chooseNode(): FakeNode {
		const {running} = this.#fleet;
		return running[chooseInteger(this.#random, running.length)]!;
	}
}

/** Sends an accepted version from a node to its peers, and applies it there only once a peer has it, as nodes do in operation. */
export async function applyAcceptedVersion(node: FakeNode, previous: EncodedSnapshot, next: EncodedSnapshot): Promise<PushReply> {
	const reply = await node.peers.sendVersion(next, computeDelta(previous.snapshot, next));
	if (reply.reached > 0 && !node.controller.signal.aborted) {
		node.activeVersion.apply(next);
	}

	return reply;
}

/** Runs the case of one seed, and returns the violations that it found. */
export async function runFuzzCase(seed: number): Promise<string[]> {
	return new FuzzRun(seed).run();
}
