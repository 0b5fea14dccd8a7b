/** The request path in one process: an entry, and nodes beside upstreams that tests write themselves. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {SystemClock} from '@ebonylead/base/base.js';
import {DecisionLog} from '@ebonylead/base/decision-log.js';
import {createLogger} from '@ebonylead/base/logs.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {CallAges} from '@ebonylead/callers/call-ages.js';
import {BurnCounters} from '@ebonylead/callers/burn-counters.js';
import {CallMetrics} from '@ebonylead/callers/call-metrics.js';
import {DefaultCallerProtocol} from '@ebonylead/callers/caller-protocol.js';
import {CallerListener} from '@ebonylead/callers/callers.js';
import {MeshPools} from '@ebonylead/callers/mesh-pools.js';
import {RequestIds} from '@ebonylead/callers/request-ids.js';
import {RetryBudget} from '@ebonylead/callers/retry-budget.js';
import {TargetChooser} from '@ebonylead/callers/target-chooser.js';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {Membership} from '@ebonylead/peers/membership.js';
import {ActiveVersion} from '@ebonylead/rules/active-version.js';
import {parseRuleFile} from '@ebonylead/rules/rule-file.js';
import {encodeSnapshot} from '@ebonylead/rules/snapshot-codec.js';
import {CrashDetector} from '@ebonylead/upstreams/crash-detector.js';
import {MeshListener} from '@ebonylead/upstreams/mesh-listener.js';
import {Quarantine, type Suspect} from '@ebonylead/upstreams/quarantine.js';
import {DefaultUpstreamProtocol} from '@ebonylead/upstreams/upstream-protocol.js';
import {LocalUpstream} from '@ebonylead/upstreams/local-upstream.js';
import {Registry} from 'prom-client';

/** Answers a call at an upstream. */
export type UpstreamBehaviour = (request: IncomingMessage, response: ServerResponse) => void;

/** A node with its upstream. */
export type HarnessPlace = {
	readonly id: string;
	readonly link: LocalUpstream;
	readonly mesh: MeshListener;
	readonly quarantine: Quarantine;
	readonly upstream: Server;

	/** Count of requests that reached the upstream. */
	runs: number;
};

/** What a place is like. */
export type PlaceOptions = {
	readonly slots?: number;
	readonly service?: string;
};

const host = '127.0.0.1';
const log = createLogger('silent');
const defaultSlots = 4;

/** Wires an entry and some places over loopback. */
export class MeshHarness {
	/** Whether the entry knows which rules are in force. */
	isReady = true;

	/** Whether places hear of each other's suspects. */
	isSpreading = true;
	readonly applied = new ActiveVersion();
	readonly membership = new Membership();
	readonly places: HarnessPlace[] = [];
	readonly #clock = new SystemClock();
	readonly #pools = new MeshPools(this.#clock);
	readonly #entry: CallerListener;
	#version = 0;

	constructor(seed = 1) {
		const random = new SeededRandom(seed);
		this.#entry = new CallerListener({
			appliedVersion: this.applied,
			chooser: new TargetChooser(this.membership, 'a', this.#clock, random),
			pools: this.#pools,
			protocol: new DefaultCallerProtocol(),
			callAges: new CallAges(),
			retryBudget: new RetryBudget(),
			metrics: new CallMetrics(new Registry()),
			requestIds: new RequestIds(random),
			burnCounters: new BurnCounters(this.#clock),
			clock: this.#clock,
			random,
			log,
			decisionLog: new DecisionLog(log, this.#clock),
			isReady: () => this.isReady,
		});
	}

	/** Address of the entry. */
	get url(): string {
		return `http://${host}:${this.#entry.port}`;
	}

	/** Starts the entry with rules. */
	async start(rules: readonly string[]): Promise<void> {
		this.setRules(rules);
		await this.#entry.listen(host, 0);
	}

	/** Puts new rules in force. */
	setRules(rules: readonly string[]): void {
		this.#version++;
		this.applied.apply(encodeSnapshot({version: this.#version, rules: parseRuleFile('f', rules.join('\n')).unsafeCoerce().rules}));
	}

	/** Adds a node beside an upstream. */
	async addPlace(behaviour: UpstreamBehaviour, {slots = defaultSlots, service = 's'}: PlaceOptions = {}): Promise<HarnessPlace> {
		const upstream = createServer((request, response) => {
			place.runs++;
			behaviour(request, response);
		});
		await new Promise<void>(resolve => {
			upstream.listen(0, host, resolve);
		});
		const link = new LocalUpstream(this.#clock, log);
		const quarantine = new Quarantine(this.#clock);
		const crashes = new CrashDetector(link, quarantine, log, suspects => {
			this.#spreadSuspects(suspects);
		});
		const mesh = new MeshListener({
			localUpstream: link, quarantine, crashDetector: crashes, protocol: new DefaultUpstreamProtocol(), clock: this.#clock, log, decisionLog: new DecisionLog(log, this.#clock),
		});
		const place: HarnessPlace = {
			id: `p${this.places.length}`, link, mesh, quarantine, upstream, runs: 0,
		};
		await mesh.listen(host, 0);
		const url = `http://${host}:${(upstream.address() as AddressInfo).port}`;
		link.applyAnnouncement({
			service, url, slots, connections: 20, state: 'ready',
		});
		this.places.push(place);
		this.membership.merge([this.#createMember(place, service, slots)], 0);
		return place;
	}

	/** Ends the calls that are open at the entry. */
	cancelOpenCalls(): void {
		this.#entry.cancelCalls('this node stops');
	}

	/** Closes everything. */
	async stop(): Promise<void> {
		this.#entry.close();
		this.#entry.closeAllConnections();
		await this.#pools.close();
		await Promise.all(this.places.map(async place => {
			place.mesh.close();
			place.mesh.closeAllConnections();
			place.upstream.close();
			place.upstream.closeAllConnections();
			await place.link.close();
		}));
	}

	#spreadSuspects(suspects: readonly Suspect[]): void {
		if (this.isSpreading) {
			for (const place of this.places) {
				place.quarantine.merge(suspects);
			}
		}
	}

	#createMember(place: HarnessPlace, service: string, slots: number): Member {
		return {
			id: place.id,
			incarnation: 1,
			dataCentre: 'a',
			region: 'r',
			host,
			peerPort: 1,
			meshPort: place.mesh.port,
			state: MemberState.ALIVE,
			service,
			upstreamState: UpstreamState.READY,
			slots,
			instance: 1,
		};
	}
}
