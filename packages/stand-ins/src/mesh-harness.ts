/** Harness for tests of calls in one process: an entry node, and sidecars with upstreams whose handlers a test supplies. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {SystemClock} from '@ebonylead/base/base.js';
import {DecisionLog} from '@ebonylead/base/decision-log.js';
import {createLogger, type Logger} from '@ebonylead/base/logs.js';
import {type Organisation} from '@ebonylead/organisations/organisations.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {AttemptProber} from '@ebonylead/callers/attempt-prober.js';
import {HttpAttemptProbe} from '@ebonylead/callers/http-attempt-probe.js';
import {CallAges} from '@ebonylead/callers/call-ages.js';
import {BurnCounters} from '@ebonylead/callers/burn-counters.js';
import {SidecarEjectionProbe} from '@ebonylead/callers/ejection-probe.js';
import {CallMetrics} from '@ebonylead/callers/call-metrics.js';
import {DefaultCallerProtocol} from '@ebonylead/callers/caller-protocol.js';
import {CallerListener, type CallerListenerDependencies} from '@ebonylead/callers/callers.js';
import {MeshPools} from '@ebonylead/callers/mesh-pools.js';
import {OrganisationCheck} from '@ebonylead/callers/organisation-check.js';
import {OrganisationMetrics} from '@ebonylead/callers/organisation-metrics.js';
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
import {Quarantine} from '@ebonylead/upstreams/quarantine.js';
import {type UpstreamRun} from '@ebonylead/upstreams/run-observer.js';
import {type SidecarDependencies} from '@ebonylead/upstreams/sidecar-call.js';
import {TransitDelays} from '@ebonylead/upstreams/transit-delays.js';
import {DefaultUpstreamProtocol} from '@ebonylead/upstreams/upstream-protocol.js';
import {LocalUpstream} from '@ebonylead/upstreams/local-upstream.js';
import {SendClock} from '@ebonylead/upstreams/send-stamp.js';
import {Registry} from 'prom-client';
import {DelayRelay} from './delay-relay.js';

/** Handles a request at an upstream. */
export type UpstreamHandler = (request: IncomingMessage, response: ServerResponse) => void;

/** A simulated VM: a sidecar and its local upstream. */
export type HarnessVm = {
	readonly id: string;
	readonly localUpstream: LocalUpstream;
	/** Listener of the running sidecar; `restartSidecar` replaces it. */
	meshListener: MeshListener;
	readonly quarantine: Quarantine;
	readonly upstreamServer: Server;

	/** Runs that the sidecar has reported to its observers. */
	readonly runs: UpstreamRun[];

	/** Number of requests that reached the upstream. */
	requestCount: number;
};

/** Options of a VM. */
export type VmOptions = {
	readonly slots?: number;
	readonly service?: string;

	/** Address of the upstream. With an address of its own, no server of another test can take its port when it has closed. */
	readonly upstreamHost?: string;
};

const host = '127.0.0.1';
const silentLog = createLogger('silent');
const defaultSlots = 4;

/** Runs an entry node and VMs, which connect over the loopback interface. */
export class MeshHarness {
	/** Whether the entry node knows the active version of the rules. */
	isReady = true;

	/** Quotas at the entry node; undefined for none. */
	quotas: CallerListenerDependencies['quotas'];

	/** The active version of the rules at the entry node. */
	readonly activeVersion = new ActiveVersion();
	readonly membership = new Membership();
	readonly vms: HarnessVm[] = [];

	/** Metrics of the entry node. */
	readonly registry = new Registry();

	/** Chooser of the entry node. */
	readonly chooser: TargetChooser;

	/** What sidecars report of the learnt capacity for a call of a route; nothing if undefined. */
	formatCapacity: ((route: string) => string) | undefined;
	readonly #clock = new SystemClock();
	readonly #pools: MeshPools;
	readonly #entryNode: CallerListener;
	readonly #relays: DelayRelay[] = [];
	readonly #entryQuarantine = new Quarantine(this.#clock);
	readonly #isFirstVmLocal: boolean;
	#localSidecar: CallerListenerDependencies['localSidecar'];
	#version = 0;

	readonly #log: Logger;

	/**
	 * @param maxConnections Maximum number of connections of the entry node to one sidecar.
	 * @param isFirstVmLocal Whether the entry node is on the first VM that is added, so that calls to its upstream stay in one process.
	 */
	constructor(seed = 1, maxConnections?: number, isFirstVmLocal = false, log: Logger = silentLog) {
		const getLocalSidecar = () => this.#localSidecar;
		const getQuotas = () => this.quotas;
		this.#isFirstVmLocal = isFirstVmLocal;
		this.#log = log;
		const random = new SeededRandom(seed);
		const protocol = new DefaultCallerProtocol();
		const attemptProbe = new HttpAttemptProbe();
		const decisionLog = new DecisionLog(log, this.#clock);
		this.#pools = new MeshPools(this.#clock, maxConnections);
		this.chooser = new TargetChooser(this.membership, 'a', this.#clock, random, new SidecarEjectionProbe(attemptProbe, decisionLog));
		this.#entryNode = new CallerListener({
			activeVersion: this.activeVersion,
			chooser: this.chooser,
			pools: this.#pools,
			attemptProber: new AttemptProber(attemptProbe, this.#clock),
			protocol,
			callAges: new CallAges(),
			retryBudget: new RetryBudget(undefined, undefined, this.#clock, random),
			metrics: new CallMetrics(this.registry),
			organisationCheck: new OrganisationCheck({headers: protocol.organisationHeaders, metrics: new OrganisationMetrics(this.registry, this.#clock)}),
			requestIds: new RequestIds(random),
			sendClock: new SendClock(this.#clock, random),
			get localSidecar() {
				return getLocalSidecar();
			},
			get quotas() {
				return getQuotas();
			},
			quarantine: this.#entryQuarantine,
			burnCounters: new BurnCounters(this.#clock),
			clock: this.#clock,
			random,
			log,
			decisionLog,
			isReady: () => this.isReady,
		});
	}

	/** URL of the entry node. */
	get url(): string {
		return `http://${host}:${this.#entryNode.port}`;
	}

	/** Starts the entry node with rules. */
	async start(rules: readonly string[]): Promise<void> {
		this.setRules(rules);
		await this.#entryNode.listen(host, 0);
	}

	/**
	 * Applies new rules as the next version.
	 *
	 * @param maxTries Maximum number of upstreams that may run one call; rule files have no option for it.
	 */
	setRules(rules: readonly string[], maxTries?: number, organisations?: readonly Organisation[]): void {
		this.#version++;
		const parsed = parseRuleFile('f', rules.join('\n')).unsafeCoerce().rules;
		this.activeVersion.apply(encodeSnapshot({version: this.#version, rules: parsed.map(rule => ({...rule, maxTries})), organisations}));
	}

	/** Adds a VM, whose upstream is ready, to the members. */
	async addVm(handler: UpstreamHandler, {slots = defaultSlots, service = 's', upstreamHost = host}: VmOptions = {}): Promise<HarnessVm> {
		const upstreamServer = createServer((request, response) => {
			vm.requestCount++;
			handler(request, response);
		});
		await new Promise<void>(resolve => {
			upstreamServer.listen(0, upstreamHost, resolve);
		});
		const localUpstream = new LocalUpstream(this.#clock, this.#log);
		const isLocal = this.#isFirstVmLocal && this.#localSidecar === undefined;
		const quarantine = isLocal ? this.#entryQuarantine : new Quarantine(this.#clock);
		const runs: UpstreamRun[] = [];
		const sidecar = this.#createSidecar(localUpstream, quarantine, runs);
		const id = `p${this.vms.length}`;
		if (isLocal) {
			this.#localSidecar = {id, sidecar};
		}

		const meshListener = this.#createMeshListener(sidecar, quarantine);
		const vm: HarnessVm = {
			id, localUpstream, meshListener, quarantine, upstreamServer, runs, requestCount: 0,
		};
		await meshListener.listen(host, 0);
		const url = `http://${upstreamHost}:${(upstreamServer.address() as AddressInfo).port}`;
		localUpstream.applyAnnouncement({
			service, url, slots, connections: 20, state: 'ready',
		});
		this.vms.push(vm);
		this.membership.merge([this.#buildMember(vm, service, slots)], 0);
		return vm;
	}

	/** Ends the sidecar of a VM as a kill does, and starts another one on the same port. */
	async restartSidecar(vm: HarnessVm): Promise<void> {
		const {port} = vm.meshListener;
		vm.meshListener.close();
		vm.meshListener.closeAllConnections();
		vm.meshListener = this.#createMeshListener(this.#createSidecar(vm.localUpstream, vm.quarantine, vm.runs), vm.quarantine);
		await vm.meshListener.listen(host, port);
	}

	/** Starts the graceful stop of the entry node: it refuses new calls, and calls in flight continue. */
	drainEntryNode(): void {
		this.#entryNode.disableKeepAlive();
		this.#entryNode.refuseNewCalls();
	}

	/** Starts a relay before the sidecar of a VM; from then on the entry node reaches the sidecar through it. */
	async addRelay(vm: HarnessVm, relayHost: string): Promise<DelayRelay> {
		const relay = new DelayRelay({
			listenHost: relayHost, targetHost: host, ports: [vm.meshListener.port], delay: 0,
		});
		await relay.start();
		this.#relays.push(relay);
		const member = this.membership.findMember(vm.id)!;
		this.membership.merge([{...member, host: relayHost, incarnation: member.incarnation + 1}], 0);
		return relay;
	}

	/** Sets the maximum size of a request's body at the entry node. */
	setMaxBodyBytes(bodyBytes: number): void {
		this.#entryNode.setLimits({
			headerBytes: 16_384, bodyBytes, headerTime: 10_000, idleTime: 10_000,
		});
	}

	/** Cancels the calls in flight at the entry node. */
	cancelCalls(): void {
		this.#entryNode.cancelCalls('this node stops');
	}

	/** Closes the entry node, and the nodes and upstreams of all VMs. */
	async stop(): Promise<void> {
		this.#entryNode.close();
		this.#entryNode.closeAllConnections();
		await this.#pools.close();
		for (const relay of this.#relays) {
			relay.stop();
		}

		await Promise.all(this.vms.map(async vm => {
			vm.meshListener.close();
			vm.meshListener.closeAllConnections();
			vm.upstreamServer.close();
			vm.upstreamServer.closeAllConnections();
			await vm.localUpstream.close();
		}));
	}

	#createSidecar(localUpstream: LocalUpstream, quarantine: Quarantine, runs: UpstreamRun[]): SidecarDependencies {
		return {
			localUpstream,
			crashDetector: new CrashDetector(localUpstream, quarantine, this.#clock, this.#log),
			protocol: new DefaultUpstreamProtocol(),
			clock: this.#clock,
			log: this.#log,
			decisionLog: new DecisionLog(this.#log, this.#clock),
			hasOrganisations: () => this.activeVersion.current.organisations !== undefined,
			formatCapacity: route => this.formatCapacity?.(route),
			runObservers: [{
				recordRun(run) {
					runs.push(run);
				},
			}],
		};
	}

	#createMeshListener(sidecar: SidecarDependencies, quarantine: Quarantine): MeshListener {
		return new MeshListener({
			...sidecar,
			quarantine,
			transitDelays: new TransitDelays(),
			getState: () => '{}',
		});
	}

	#buildMember(vm: HarnessVm, service: string, slots: number): Member {
		return {
			id: vm.id,
			incarnation: 1,
			dataCentre: 'a',
			region: 'r',
			host,
			peerPort: 1,
			meshPort: vm.meshListener.port,
			state: MemberState.ALIVE,
			service,
			upstreamState: UpstreamState.READY,
			slots,
			instance: 1,
		};
	}
}
