/** Creates and connects the components of a node that accepts and distributes rule versions itself. Only this module creates them. */
import {setMaxListeners} from 'node:events';
import {SystemClock, type Clock} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {DecisionLog} from '@ebonylead/base/decision-log.js';
import {createLogger, createPartLogger, type Logger} from '@ebonylead/base/logs.js';
import {SystemRandom} from '@ebonylead/base/random.js';
import {AttemptProber} from '@ebonylead/callers/attempt-prober.js';
import {HttpAttemptProbe} from '@ebonylead/callers/http-attempt-probe.js';
import {CallAges} from '@ebonylead/callers/call-ages.js';
import {BurnCounters} from '@ebonylead/callers/burn-counters.js';
import {SidecarEjectionProbe} from '@ebonylead/callers/ejection-probe.js';
import {CallMetrics} from '@ebonylead/callers/call-metrics.js';
import {DefaultCallerProtocol} from '@ebonylead/callers/caller-protocol.js';
import {CallerListener} from '@ebonylead/callers/callers.js';
import {MeshPools} from '@ebonylead/callers/mesh-pools.js';
import {OrganisationCheck} from '@ebonylead/callers/organisation-check.js';
import {OrganisationMetrics} from '@ebonylead/callers/organisation-metrics.js';
import {RequestIds} from '@ebonylead/callers/request-ids.js';
import {RetryBudget} from '@ebonylead/callers/retry-budget.js';
import {TargetChooser} from '@ebonylead/callers/target-chooser.js';
import {OperatorListener} from '@ebonylead/operators/operator-listener.js';
import {type Settings} from '@ebonylead/operators/settings.js';
import {
	MemberState, UpstreamState, type Member,
} from '@ebonylead/peers/generated/peers.js';
import {GrpcServer} from '@ebonylead/peers/grpc-server.js';
import {GrpcTransport} from '@ebonylead/peers/grpc-transport.js';
import {defaultHeartbeatTimes, lowTrafficHeartbeatTimes} from '@ebonylead/peers/heartbeats.js';
import {PeerNode} from '@ebonylead/peers/peer-node.js';
import {Acceptor} from '@ebonylead/store/acceptance.js';
import {HttpStore} from '@ebonylead/store/http-store.js';
import {SeedStore} from '@ebonylead/store/seeds.js';
import {VersionStore} from '@ebonylead/store/versions.js';
import {ActiveVersion} from '@ebonylead/rules/active-version.js';
import {AnnouncementListener} from '@ebonylead/upstreams/announcement-listener.js';
import {CrashDetector} from '@ebonylead/upstreams/crash-detector.js';
import {MeshListener} from '@ebonylead/upstreams/mesh-listener.js';
import {Quarantine, crashSources} from '@ebonylead/upstreams/quarantine.js';
import {SendClock} from '@ebonylead/upstreams/send-stamp.js';
import {type SidecarDependencies} from '@ebonylead/upstreams/sidecar-call.js';
import {TransitDelays} from '@ebonylead/upstreams/transit-delays.js';
import {DefaultUpstreamProtocol} from '@ebonylead/upstreams/upstream-protocol.js';
import {LocalUpstream, type UpstreamStatus} from '@ebonylead/upstreams/local-upstream.js';
import {Registry} from 'prom-client';
import {HeadWatcher} from './head-watcher.js';
import {NodeOperations} from './node-operations.js';
import {PauseDetector} from './pause-detector.js';
import {Readiness} from './readiness.js';
import {registerNodeMetrics} from './node-metrics.js';
import {SeedMaintainer} from './seed-maintainer.js';
import {SubmissionRunner} from './submission-runner.js';

/** Number of children of a node in the push tree. */
const fanout = 6;

/** Timing of the heartbeats for each value of the setting `spreading`. */
const heartbeatTimes = {convergence: defaultHeartbeatTimes, bytes: lowTrafficHeartbeatTimes} as const;

/** Time between the announcement that this node leaves and the end of accepting calls, in which other nodes stop sending calls to it. */
const leaveNoticeMs = 2000;
const drainPollIntervalMs = 20;
const loopback = '127.0.0.1';

/** Exclusive upper bound of the random `instance` of a member, which is sent as a 32-bit number. */
const instanceLimit = 0x1_00_00_00_00;

/** Result of a graceful stop. */
export type StopReport = {
	/** Number of calls that were still in flight when the node closed. */
	readonly openCalls: number;

	/** Duration of the stop in milliseconds. */
	readonly duration: number;
};

/** A node: a proxy, and a peer in the control plane that all proxies form without a central server. */
export class Node {
	readonly #settings: Settings;
	readonly #clock: Clock = new SystemClock();
	readonly #random = new SystemRandom();
	readonly #registry = new Registry();
	readonly #rootLog: Logger;
	readonly #log: Logger;
	readonly #controller = new AbortController();
	readonly #activeVersion = new ActiveVersion();
	readonly #quarantine: Quarantine;
	readonly #burn = new BurnCounters(this.#clock);
	readonly #transport = new GrpcTransport();
	readonly #pools = new MeshPools(this.#clock);
	readonly #platform: HttpStore;
	readonly #peers: PeerNode;
	readonly #peerServer: GrpcServer;
	readonly #localUpstream: LocalUpstream;
	readonly #announcementListener: AnnouncementListener;
	readonly #meshListener: MeshListener;
	readonly #callerListener: CallerListener;
	readonly #operatorListener: OperatorListener;
	readonly #watcher: HeadWatcher;
	readonly #readiness: Readiness;
	readonly #seedMaintainer: SeedMaintainer;
	readonly #pauseDetector: PauseDetector;
	readonly #onReplaced: () => void;

	/**
	 * @param onReplaced Called when a newer process has taken over this node's id, so that this one must stop.
	 */
	constructor(settings: Settings, onReplaced: () => void) {
		const {deployment, node, platform} = settings;
		const clock = this.#clock;
		const random = this.#random;
		const activeVersion = this.#activeVersion;
		setMaxListeners(0, this.#controller.signal);
		this.#settings = settings;
		this.#onReplaced = onReplaced;
		this.#rootLog = createLogger(settings.logLevel, {node: node.id});
		this.#log = this.#createLog('node');
		this.#platform = new HttpStore(platform);
		const versions = new VersionStore(deployment, this.#platform, this.#platform);
		const seeds = new SeedStore(deployment, this.#platform);
		this.#quarantine = new Quarantine(clock, this.#createLog('mesh'), (records, source) => {
			if (source !== crashSources.peer) {
				void this.#peers.sendCrashRecords(records);
			}
		});
		this.#peers = this.#createPeers();
		this.#peerServer = new GrpcServer(deployment, this.#peers, this.#transport.counts);
		this.#localUpstream = new LocalUpstream(clock, this.#createLog('upstream'));
		this.#announcementListener = new AnnouncementListener(this.#localUpstream);
		const crashDetector = new CrashDetector(this.#localUpstream, this.#quarantine, clock, this.#createLog('mesh'));
		const sidecar: SidecarDependencies = {
			localUpstream: this.#localUpstream,
			crashDetector,
			protocol: new DefaultUpstreamProtocol(),
			clock,
			log: this.#createLog('mesh'),
			decisionLog: new DecisionLog(this.#createLog('mesh'), clock),
			hasOrganisations: () => activeVersion.current.organisations !== undefined,
		};
		this.#meshListener = new MeshListener({...sidecar, quarantine: this.#quarantine, transitDelays: new TransitDelays()});
		this.#watcher = new HeadWatcher({
			selfId: node.id,
			dataCentre: node.dataCentre,
			membership: this.#peers.membership,
			versions,
			activeVersion,
			clock,
			random,
			log: this.#createLog('platform'),
			onVersion: async (encoded, delta) => {
				await this.#peers.sendVersionLocally(encoded, delta);
			},
		});
		this.#readiness = new Readiness({
			peers: this.#peers, watcher: this.#watcher, seeds, activeVersion, configuredPeers: settings.peers, clock, random, log: this.#log,
		});
		this.#pauseDetector = new PauseDetector(clock, gap => {
			this.#log.warn(`This process was paused for ${Math.round(gap)} ms; it syncs the newest version before it serves again`);
			this.#readiness.reset();
		});
		this.#seedMaintainer = new SeedMaintainer({
			peers: this.#peers, seeds, clock, random, log: this.#createLog('platform'),
		});
		const attemptProbe = new HttpAttemptProbe();
		const callDecisionLog = new DecisionLog(this.#createLog('callers'), clock);
		const callerProtocol = new DefaultCallerProtocol();
		const chooser = new TargetChooser(this.#peers.membership, node.dataCentre, clock, random, new SidecarEjectionProbe(attemptProbe, callDecisionLog), {
			local: settings.localAttempts ? {id: node.id, getLoad: () => this.#localUpstream.admission.load} : undefined,
		});
		this.#callerListener = new CallerListener({
			activeVersion,
			chooser,
			pools: this.#pools,
			attemptProber: new AttemptProber(attemptProbe, clock),
			protocol: callerProtocol,
			callAges: new CallAges(),
			retryBudget: new RetryBudget(undefined, undefined, clock, random),
			metrics: new CallMetrics(this.#registry),
			organisationCheck: new OrganisationCheck({headers: callerProtocol.organisationHeaders, metrics: new OrganisationMetrics(this.#registry, clock)}),
			requestIds: new RequestIds(random),
			sendClock: new SendClock(clock, random),
			localSidecar: settings.localAttempts ? {id: node.id, sidecar} : undefined,
			quarantine: this.#quarantine,
			burnCounters: this.#burn,
			clock,
			random,
			log: this.#createLog('callers'),
			decisionLog: callDecisionLog,
			isReady: () => this.#isReadyNow(),
		});
		const submissions = new SubmissionRunner({
			acceptor: new Acceptor({
				table: this.#platform, objects: this.#platform, versions, clock, random,
			}),
			activeVersion,
			peers: this.#peers,
			watcher: this.#watcher,
			clock,
			log: this.#createLog('operators'),
		});
		this.#operatorListener = new OperatorListener(new NodeOperations({
			submissions,
			activeVersion,
			chooser,
			peers: this.#peers,
			watcher: this.#watcher,
			registry: this.#registry,
			isReady: () => this.#isReadyNow(),
			transport: this.#transport,
			objectives: settings.objectives,
		}), this.#createLog('operators'));
		registerNodeMetrics(this.#registry, {
			activeVersion, membership: this.#peers.membership, transport: this.#transport, localUpstream: this.#localUpstream, watcher: this.#watcher, isReady: () => this.#readiness.isReady,
		});
	}

	/** Opens the listeners and starts the background tasks. */
	async start(): Promise<void> {
		const {node, listeners} = this.#settings;
		const {signal} = this.#controller;
		const host = node.listenHost ?? node.host;
		await this.#peerServer.listen(host, listeners.peers);
		await this.#meshListener.listen(host, listeners.mesh);
		await this.#callerListener.listen(host, listeners.callers);
		await this.#operatorListener.listen(host, listeners.operators);
		await this.#announcementListener.listen(loopback, listeners.announcements);
		this.#runTask('readiness', this.#readiness.run(signal));
		this.#runTask('heartbeats', this.#peers.run(signal));
		this.#runTask('head watcher', this.#watcher.run(signal));
		this.#runTask('seeds', this.#seedMaintainer.run(signal));
		this.#runTask('pause detector', this.#pauseDetector.run(signal));
		this.#runTask('upstream', this.#localUpstream.run(signal));
		this.#localUpstream.status.observeChanges().skip(1).observe(status => {
			this.#updateUpstreamState(status);
		}).catch((error: unknown) => {
			this.#log.error(`Following the upstream failed: ${describeError(error)}`);
		});
		this.#log.info('Started');
	}

	/** Stops gracefully: announces that this node leaves, drains the calls in flight, then closes. */
	async stop(): Promise<StopReport> {
		const startedAt = this.#clock.now();
		this.#log.info('Stopping');
		await this.#peers.leave();
		await this.#clock.sleep(leaveNoticeMs);
		this.#localUpstream.admission.close();
		this.#callerListener.close();
		this.#meshListener.close();
		await this.#waitForInFlightCalls(startedAt + this.#settings.stopTimeout);
		const openCalls = this.#callerListener.inFlightCount + this.#meshListener.inFlightCount;
		await this.close();
		const report = {openCalls, duration: Math.round(this.#clock.now() - startedAt)};
		this.#log.info(`Stopped after ${report.duration} ms with ${openCalls} calls still open`);
		return report;
	}

	/** Closes everything at once. */
	async close(): Promise<void> {
		this.#controller.abort();
		this.#callerListener.closeAllConnections();
		this.#meshListener.closeAllConnections();
		this.#operatorListener.close();
		this.#announcementListener.close();
		this.#transport.close();
		await Promise.all([this.#peerServer.close(), this.#pools.close(), this.#localUpstream.close(), this.#platform.close()]);
	}

	async #waitForInFlightCalls(deadline: number): Promise<void> {
		while (this.#callerListener.inFlightCount + this.#meshListener.inFlightCount > 0 && this.#clock.now() < deadline) {
			await this.#clock.sleep(drainPollIntervalMs);
		}
	}

	#createPeers(): PeerNode {
		const {deployment, spreading} = this.#settings;
		return new PeerNode({
			deployment,
			member: this.#buildMember(),
			fanout,
			times: heartbeatTimes[spreading],
			activeVersion: this.#activeVersion,
			transport: this.#transport,
			clock: this.#clock,
			random: this.#random,
			log: this.#createLog('peers'),
			countControlBytes: () => this.#transport.counts.bytes,
			listQuarantined: () => this.#quarantine.quarantined,
			listCalls: () => this.#burn.list(),
			onCrashRecords: records => {
				// Nodes of an earlier version don't tell crashes apart.
				this.#quarantine.merge(records.filter(({crash}) => crash !== ''));
			},
			isReady: () => this.#readiness.isReady,
			onReplaced: () => {
				this.#log.error('A newer process took over the id of this node; this one stops');
				this.#onReplaced();
			},
		});
	}

	#buildMember(): Member {
		const {node, listeners} = this.#settings;
		return {
			id: node.id,
			incarnation: this.#clock.wallTime(),
			dataCentre: node.dataCentre,
			region: node.region,
			host: node.host,
			peerPort: listeners.peers,
			meshPort: listeners.mesh,
			state: MemberState.ALIVE,
			service: '',
			upstreamState: UpstreamState.ABSENT,
			slots: 0,
			instance: Math.floor(this.#random.next() * instanceLimit),
		};
	}

	#updateUpstreamState(status: UpstreamStatus): void {
		const states = {absent: UpstreamState.ABSENT, ready: UpstreamState.READY, draining: UpstreamState.DRAINING};
		this.#peers.updateSelf({service: status.service, slots: status.slots, upstreamState: states[status.state]});
	}

	/** Returns whether this node may serve. Checks for a pause of the process first, as the rules may be stale after one. */
	#isReadyNow(): boolean {
		this.#pauseDetector.check();
		return this.#readiness.isReady;
	}

	#createLog(part: string): Logger {
		return createPartLogger(this.#rootLog, part);
	}

	#runTask(name: string, task: Promise<void>): void {
		task.catch((error: unknown) => {
			this.#log.fatal(`Task "${name}" failed: ${describeError(error)}`);
		});
	}
}
