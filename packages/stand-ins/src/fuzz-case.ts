/** One random history of a handful of nodes, checked against the promises. */
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
const steps = 14;
const maxPause = 4000;

/** Time after the last fault in which all nodes must agree: heartbeats to the dead heal partitions slowly. */
const healTime = 240_000;

/** Applies random faults and changes to a fleet. */
class FuzzRun {
	readonly faults: string[] = [];
	readonly #random: SeededRandom;
	readonly #fleet: FakeFleet;
	readonly #snapshots: EncodedSnapshot[] = [emptySnapshot];
	readonly #silent = new Set<string>();
	readonly #killed: Array<{readonly id: string; readonly dataCentre: string}> = [];

	constructor(seed: number) {
		this.#random = new SeededRandom(seed);
		this.#fleet = new FakeFleet(seed);
	}

	async run(): Promise<string[]> {
		await this.#fleet.start(dataCentres);
		await this.#fleet.clock.advance(3000);
		for (let step = 0; step < steps; step++) {
			this.#takeStep();
			await this.#fleet.clock.advance(this.#random.next() * maxPause);
			this.#checkDigests();
		}

		await this.#heal();
		this.#checkEnd();
		this.#fleet.stop();
		return [...this.faults, ...this.#fleet.faults];
	}

	#takeStep(): void {
		switch (chooseInteger(this.#random, 7)) {
			case 0:
			case 1:
			case 2: {
				this.#accept();
				break;
			}

			case 3: {
				this.#silence();
				break;
			}

			case 4: {
				this.#kill();
				break;
			}

			case 5: {
				this.#replace();
				break;
			}

			default: {
				this.#repeatOldDelta();
			}
		}
	}

	/** Puts the next version in force on one node, which spreads it; the links may be broken meanwhile. */
	#accept(): void {
		const version = this.#snapshots.length;
		const rules = parseRuleFile('f', `GET a.example/${version % 3} -> s${version} # A`).unsafeCoerce();
		const previous = this.#snapshots.at(-1)!;
		const next = encodeSnapshot({version, rules: [...previous.snapshot.rules.filter(rule => rule.path !== rules.rules[0]!.path), ...rules.rules]});
		this.#snapshots.push(next);
		void acceptVersion(this.#pick(), previous, next);
	}

	/** Sends a delta again that all have had for long. */
	#repeatOldDelta(): void {
		if (this.#snapshots.length > 2) {
			const index = 1 + chooseInteger(this.#random, this.#snapshots.length - 1);
			void this.#pick().peers.sendVersion(this.#snapshots[index]!, computeDelta(this.#snapshots[index - 1]!.snapshot, this.#snapshots[index]!));
		}
	}

	#silence(): void {
		const node = this.#pick();
		if (!this.#silent.delete(node.address)) {
			this.#silent.add(node.address);
		}

		this.#fleet.network.rule = (from, to) => this.#silent.has(from) || this.#silent.has(to) ? 'silence' : 'pass';
	}

	#kill(): void {
		if (this.#fleet.running.length > 3) {
			const node = this.#pick();
			this.#killed.push({id: node.peers.self.id, dataCentre: node.peers.self.dataCentre});
			this.#fleet.kill(node);
		}
	}

	/** Starts a killed identity again; it must not serve an older version than it had. */
	#replace(): void {
		const killed = this.#killed.pop();
		if (killed) {
			void this.#fleet.add(killed.id, killed.dataCentre);
		}
	}

	async #heal(): Promise<void> {
		this.#fleet.network.rule = () => 'pass';
		await this.#joinLoneNodes();
		await this.#fleet.clock.advance(healTime);
	}

	/** Does what the rows of first peers do for a node that found nobody when it started. */
	async #joinLoneNodes(): Promise<void> {
		const {running} = this.#fleet;
		for (const node of running) {
			if (node.peers.membership.aliveCount === 1) {
				await node.peers.join(running.filter(other => other !== node).map(other => getAddress(other.peers.self)));
			}
		}
	}

	#checkDigests(): void {
		for (const node of this.#fleet.running) {
			const {encoded} = node.applied.current;
			if (encoded.digest !== this.#snapshots[encoded.snapshot.version]?.digest) {
				this.faults.push(`${node.peers.self.id} enforces a part of version ${encoded.snapshot.version}`);
			}
		}
	}

	#checkEnd(): void {
		const {running} = this.#fleet;
		const newest = Math.max(...running.map(node => node.applied.version));
		for (const node of running) {
			if (node.applied.version !== newest) {
				this.faults.push(`${node.peers.self.id} stays at version ${node.applied.version} of ${newest}`);
			}

			if (node.peers.membership.aliveCount !== running.length) {
				this.faults.push(`${node.peers.self.id} knows ${node.peers.membership.aliveCount} of ${running.length} members`);
			}
		}
	}

	#pick(): FakeNode {
		const {running} = this.#fleet;
		return running[chooseInteger(this.#random, running.length)]!;
	}
}

/** Does what a node does with a version that it accepted: others have it before it enforces it. */
export async function acceptVersion(node: FakeNode, previous: EncodedSnapshot, next: EncodedSnapshot): Promise<PushReply> {
	const reply = await node.peers.sendVersion(next, computeDelta(previous.snapshot, next));
	if (reply.reached > 0 && !node.controller.signal.aborted) {
		node.applied.apply(next);
	}

	return reply;
}

/** Runs the history of one seed, and returns the promises that it broke. */
export async function runFuzzCase(seed: number): Promise<string[]> {
	return new FuzzRun(seed).run();
}
