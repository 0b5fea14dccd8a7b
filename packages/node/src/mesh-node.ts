/** Creates and connects the components of a node that reads its rules and members from a store shared by all nodes. Only this module creates them. */
import {SystemClock, type Clock} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {DecisionLog} from '@ebonylead/base/decision-log.js';
import {createPartLogger, type Logger} from '@ebonylead/base/logs.js';
import {SystemRandom} from '@ebonylead/base/random.js';
import {AttemptProber} from '@ebonylead/callers/attempt-prober.js';
import {HttpAttemptProbe} from '@ebonylead/callers/http-attempt-probe.js';
import {CallAges} from '@ebonylead/callers/call-ages.js';
import {BurnCounters} from '@ebonylead/callers/burn-counters.js';
import {SidecarEjectionProbe} from '@ebonylead/callers/ejection-probe.js';
import {CallMetrics} from '@ebonylead/callers/call-metrics.js';
import {CallerListener} from '@ebonylead/callers/callers.js';
import {MeshPools} from '@ebonylead/callers/mesh-pools.js';
import {RequestIds} from '@ebonylead/callers/request-ids.js';
import {RetryBudget} from '@ebonylead/callers/retry-budget.js';
import {TargetChooser} from '@ebonylead/callers/target-chooser.js';
import {MemberState} from '@ebonylead/peers/generated/peers.js';
import {Membership} from '@ebonylead/peers/membership.js';
import {ActiveVersion} from '@ebonylead/rules/active-version.js';
import {type RouteTable} from '@ebonylead/rules/route-table.js';
import {type AcceptedRules} from '@ebonylead/rules/rule-source.js';
import {CrashDetector} from '@ebonylead/upstreams/crash-detector.js';
import {MeshListener, type StateQuery} from '@ebonylead/upstreams/mesh-listener.js';
import {Quarantine} from '@ebonylead/upstreams/quarantine.js';
import {RefusalMetrics} from '@ebonylead/upstreams/refusal-metrics.js';
import {type SidecarDependencies} from '@ebonylead/upstreams/sidecar-call.js';
import {LocalUpstream} from '@ebonylead/upstreams/local-upstream.js';
import {SendClock} from '@ebonylead/upstreams/send-stamp.js';
import {registerQuarantineMetrics, registerUpstreamMetrics} from '@ebonylead/upstreams/upstream-metrics.js';
import {TransitDelays} from '@ebonylead/upstreams/transit-delays.js';
import {CrashGossip} from './crash-gossip.js';
import {HttpCrashTransport} from './crash-transport.js';
import {createLoadBalancing} from './load-balancing.js';
import {MemberDirectory} from './member-directory.js';
import {type MeshNodeDependencies} from './mesh-node-settings.js';
import {flushResponses} from './final-responses.js';
import {createQuotas, type NodeQuotas} from './node-quotas.js';
import {createRollouts, type NodeRollouts} from './node-rollouts.js';
import {HttpFeedTransport, parsePosition} from './feed-transport.js';
import {createOrganisationCheck} from './organisation-access.js';
import {PeerStateFetcher, encodeState, type PeerState} from './peer-state.js';
import {ReaderRanking} from './reader-ranking.js';
import {RelayedRowStore} from './relayed-row-store.js';
import {RowCache} from './row-cache.js';
import {buildSelf} from './self-member.js';
import {expiredFreshness, RulesFeed} from './rules-feed.js';
import {RulesHistory} from './rules-history.js';
import {RulesSync} from './rules-sync.js';
import {createAnnouncementHandler} from './announcement-creation.js';
import {upstreamStates, type AnnouncementHandler} from './announcement-handler.js';

/** Time for which a stopping node still accepts calls, so that callers can see that it is not ready before it refuses them. */
const shutdownDelayMs = 3000;

/** Part of the stop timeout that is reserved for closing. */
const closeReserveMs = 800;

/** Timeout for writing the row of a stopping node to the store. */
const leaveWriteTimeoutMs = 500;

const drainPollIntervalMs = 20;

/** Number of readers in each data centre: one reads the rules from the store for the others, one stands by. */
const readerCount = 2;

/** Interval between two reads of members by a reader; changes of meanwhile go to its followers together. */
const readerIntervalMs = 250;

/** A node: the entry node for the callers on its VM, and the sidecar of the local upstream. */
export class MeshNode {
	/** Handles the announcements of the local upstream. */
	readonly announcementHandler: AnnouncementHandler;

	/** The requests that crash upstreams, for operators. */
	readonly quarantine: Quarantine;
	readonly #dependencies: MeshNodeDependencies;
	readonly #clock: Clock = new SystemClock();
	readonly #random = new SystemRandom();
	readonly #log: Logger;
	readonly #controller = new AbortController();
	readonly #activeVersion = new ActiveVersion();
	readonly #membership = new Membership();
	readonly #pools = new MeshPools(this.#clock);
	readonly #localUpstream: LocalUpstream;
	readonly #directory: MemberDirectory;
	readonly #meshListener: MeshListener;
	readonly #callerListener: CallerListener;
	readonly #stateFetcher: PeerStateFetcher;
	readonly #history = new RulesHistory();
	readonly #rows = new RowCache();
	readonly #ranking: ReaderRanking;
	readonly #rulesSync: RulesSync;
	readonly #rulesFeed: RulesFeed;
	readonly #crashGossip: CrashGossip;
	readonly #crashTransport = new HttpCrashTransport();

	/** Roll-outs and quotas; undefined where there are none. */
	readonly #rollouts: NodeRollouts | undefined;
	readonly #quotas: NodeQuotas | undefined;

	/** Whether a peer has sent members; then the node can serve before it has read the store. */
	#hasPeerMembers = false;
	#isStopping = false;

	constructor(dependencies: MeshNodeDependencies) {
		const {settings, store, callerProtocol, upstreamProtocol, registry} = dependencies;
		const clock = this.#clock;
		const random = this.#random;
		this.#dependencies = dependencies;
		this.#log = this.#createLog('node');
		this.#localUpstream = new LocalUpstream(clock, this.#createLog('upstream'));
		this.#directory = new MemberDirectory({
			store: new RelayedRowStore({
				store, cache: this.#rows, clock, isRelayed: () => this.#rulesSync.isFollowing,
			}),
			membership: this.#membership,
			clock,
			log: this.#createLog('members'),
			self: buildSelf(settings, random),
			getReadInterval: () => this.#getReadInterval(),
			onRestored: (member, upstream) => {
				if (member && upstream) {
					this.announcementHandler.restore(upstream, member.upstreamState);
				}
			},
		});
		this.announcementHandler = createAnnouncementHandler(dependencies, {
			localUpstream: this.#localUpstream, directory: this.#directory, clock, log: this.#createLog('upstream'),
		});
		registerUpstreamMetrics(registry, this.#localUpstream);
		this.quarantine = new Quarantine(clock, this.#createLog('mesh'), records => {
			this.#crashGossip.spread(records);
		});
		registerQuarantineMetrics(registry, this.quarantine);
		this.#crashGossip = new CrashGossip({
			id: settings.id,
			quarantine: this.quarantine,
			membership: this.#membership,
			clock,
			random,
			log: this.#createLog('mesh'),
			hasJoined: () => this.#canServe,
			send: async (origin, text) => this.#crashTransport.send(origin, text),
		});
		this.#rollouts = createRollouts(dependencies, {
			membership: this.#membership,
			localUpstream: this.#localUpstream,
			process: this.#directory.self.instance,
			clock,
			random,
			getFreshUntil: () => this.#rulesSync.freshness.until,
			isFollowing: () => this.#rulesSync.isFollowing,
			onChange: () => {
				this.#rulesFeed.sendToAll();
			},
		});
		this.#quotas = createQuotas(dependencies, {membership: this.#membership, activeVersion: this.#activeVersion, localUpstream: this.#localUpstream});
		const balancing = createLoadBalancing(dependencies, {clock, localUpstream: this.#localUpstream, runObservers: this.#rollouts && [this.#rollouts.counts]});
		const sidecar: SidecarDependencies = {
			...balancing.sidecar,
			localUpstream: this.#localUpstream,
			crashDetector: new CrashDetector(this.#localUpstream, this.quarantine, clock, this.#createLog('mesh')),
			protocol: upstreamProtocol,
			clock,
			log: this.#createLog('mesh'),
			decisionLog: new DecisionLog(this.#createLog('mesh'), clock),
			refusalMetrics: new RefusalMetrics(registry),
			hasOrganisations: () => this.#activeVersion.current.organisations !== undefined,
		};
		this.#meshListener = new MeshListener({
			...sidecar,
			quarantine: this.quarantine,
			transitDelays: new TransitDelays(),
			getState: query => this.#getState(query),
			openFeed: (output, parameters) => {
				this.#rulesFeed.add(output, parsePosition(parameters));
			},
			exchangeCrashes: text => this.#crashGossip.receive(text),
			messageHandlers: new Map([...this.#rollouts?.messageHandlers ?? [], ...this.#quotas?.messageHandlers ?? []]),
			onCrashDigest: this.#handleCrashDigest,
			getVersion: () => this.#activeVersion.version,
			onVersion: (version, origin) => {
				this.#stateFetcher.recordVersion(version, origin);
			},
		});
		this.#ranking = new ReaderRanking({
			id: settings.id, dataCentre: settings.dataCentre, membership: this.#membership, clock, random, readerCount,
		});
		this.#rulesSync = this.#createRulesSync();
		this.#rulesFeed = new RulesFeed({
			history: this.#history, rows: this.#rows, rollouts: this.#rollouts?.registry, clock, getFreshness: () => this.#directory.isUnavailable ? expiredFreshness : this.#rulesSync.freshness,
		});
		this.#stateFetcher = new PeerStateFetcher({
			self: this.#directory.self,
			seedHosts: settings.seedHosts,
			membership: this.#membership,
			clock,
			random,
			log: this.#createLog('peers'),
			isStoreUnavailable: () => this.#rulesSync.isStoreUnavailable || this.#directory.isUnavailable,
			getVersion: () => this.#activeVersion.version,
			listVersions: () => this.#history.listVersions(),
			onState: state => {
				this.#mergeState(state);
			},
		});
		const attemptProbe = new HttpAttemptProbe();
		const callDecisionLog = new DecisionLog(this.#createLog('callers'), clock);
		const ejectionProbe = new SidecarEjectionProbe(attemptProbe, callDecisionLog);
		this.#callerListener = new CallerListener({
			activeVersion: this.#activeVersion,
			chooser: new TargetChooser(this.#membership, settings.dataCentre, clock, random, ejectionProbe, {
				filter: this.#rollouts?.filter,
				local: settings.localAttempts ? {id: settings.id, getLoad: () => this.#localUpstream.admission.load} : undefined, createRanking: balancing.createRanking,
			}),
			pools: this.#pools,
			attemptProber: new AttemptProber(attemptProbe, clock),
			protocol: callerProtocol,
			callAges: new CallAges(),
			retryBudget: new RetryBudget(settings.retryRatio, () => settings.retrySlack / Math.max(1, this.#membership.aliveCount), clock, random),
			metrics: new CallMetrics(registry),
			organisationCheck: createOrganisationCheck(dependencies, clock, this.#rulesSync),
			requestIds: new RequestIds(random),
			sendClock: new SendClock(clock, random),
			localSidecar: settings.localAttempts ? {id: settings.id, sidecar} : undefined,
			quotas: this.#quotas,
			quarantine: this.quarantine,
			onCrashDigest: this.#handleCrashDigest,
			burnCounters: new BurnCounters(clock),
			clock,
			random,
			log: this.#createLog('callers'),
			decisionLog: callDecisionLog,
			origin: `http://${settings.host}:${settings.meshPort}`,
			onVersion: (version, origin) => {
				this.#stateFetcher.recordVersion(version, origin);
			},
			isReady: () => this.#canServe,
		});
	}

	/** Whether callers should send calls to this node. */
	get isReady(): boolean {
		return this.#canServe && !this.#isStopping;
	}

	/** Describes the roll-outs, for operators; undefined where there are none. */
	describeRollouts(): unknown {
		return this.#rollouts?.describe();
	}

	/** Returns the path at which upstreams of a service tell whether they are ready; undefined if it is not known. */
	findHealthPath(service: string): string | undefined {
		return this.#history.current?.healthPaths?.[service];
	}

	/** Opens the listeners and starts the background tasks. */
	async start(): Promise<void> {
		const {settings} = this.#dependencies;
		const {signal} = this.#controller;
		await this.#meshListener.listen(settings.host, settings.meshPort);
		await this.#callerListener.listen(settings.host, settings.callerPort);
		this.#runTask('rules', this.#rulesSync.run(signal));
		this.#runTask('rules feed', this.#rulesFeed.run(signal));
		this.#runTask('members', this.#directory.run(signal));
		this.#runTask('peers', this.#stateFetcher.run(signal));
		this.#runTask('crashes', this.#crashGossip.start());
		this.#runTask('upstream', this.#localUpstream.run(signal));
		this.#runTask('rollouts', this.#rollouts?.run(signal));
		this.#runTask('quotas', this.#quotas?.run(signal));
		this.#runTask('upstream state', this.announcementHandler.run());
		this.#log.info({node: settings.id}, 'Started');
	}

	/**
	 * Stops gracefully: stops admitting calls to the local upstream, announces
	 * that this node leaves, keeps serving callers for a short time, then refuses
	 * new calls, drains those in flight and closes.
	 *
	 * @returns Number of calls that were cancelled at the deadline.
	 */
	async stop(): Promise<number> {
		const startedAt = this.#clock.now();
		this.#isStopping = true;
		this.#log.info({open: this.#inFlightCount}, 'Stopping');
		this.#localUpstream.admission.close();
		this.#callerListener.disableKeepAlive();
		await this.#localUpstream.probeEnd();
		await this.#directory.update({state: MemberState.LEFT, upstreamState: upstreamStates[this.#localUpstream.status.value.state]}, leaveWriteTimeoutMs);
		const deadline = startedAt + this.#dependencies.settings.stopTimeout - closeReserveMs;
		await this.#clock.sleep(startedAt + shutdownDelayMs - this.#clock.now());
		this.#callerListener.refuseNewCalls();
		while (this.#inFlightCount > 0 && this.#clock.now() < deadline) {
			await this.#clock.sleep(drainPollIntervalMs);
		}

		const cut = this.#inFlightCount;
		this.#callerListener.cancelCalls('this node stops');
		await flushResponses([this.#callerListener, this.#meshListener], deadline, this.#clock);
		this.#log.info({cut, duration: Math.round(this.#clock.now() - startedAt)}, 'Stopped');
		await this.close();
		return cut;
	}

	/** Closes everything at once. */
	async close(): Promise<void> {
		this.#controller.abort();
		this.#crashGossip.stop();
		this.#callerListener.close();
		this.#callerListener.closeAllConnections();
		this.#meshListener.close();
		this.#meshListener.closeAllConnections();
		await Promise.all([this.#pools.close(), this.#localUpstream.close(), this.#crashTransport.close(), this.#rollouts?.close(), this.#quotas?.close()]);
	}

	readonly #handleCrashDigest = (digest: string, origin: string) => {
		this.#crashGossip.handleDigest(digest, origin);
	};

	get #canServe(): boolean {
		return this.#activeVersion.version > 0 && (this.#directory.isLoaded || this.#hasPeerMembers);
	}

	get #inFlightCount(): number {
		return this.#callerListener.inFlightCount + this.#meshListener.inFlightCount;
	}

	#createRulesSync(): RulesSync {
		const {settings, ruleSource} = this.#dependencies;
		return new RulesSync({
			id: settings.id,
			source: ruleSource,
			transport: new HttpFeedTransport(),
			history: this.#history,
			rows: this.#rows,
			ranking: this.#ranking,
			clock: this.#clock,
			random: this.#random,
			log: this.#createLog('rules'),
			onRules: (rules, routeTable) => {
				this.#applyRules(rules, routeTable);
			},
			onRollouts: update => {
				this.#rollouts?.registry.applyUpdate(update);
			},
		});
	}

	/** Returns the interval between two reads of members; none where another node sends them, and a short one where this node reads them for others. */
	#getReadInterval(): number | undefined {
		if (this.#rulesSync.isFollowing) {
			return 0;
		}

		return this.#ranking.isReader ? readerIntervalMs : undefined;
	}

	#getState({versions, includeMembers}: StateQuery): string {
		const members = includeMembers ? this.#membership.listAll().filter(member => member.state === MemberState.ALIVE) : [];
		return encodeState(this.#history.encodeUpdate(versions), members);
	}

	#mergeState({update, members}: PeerState): void {
		this.#membership.merge(members.filter(member => member.id !== this.#dependencies.settings.id), this.#clock.now());
		this.#hasPeerMembers ||= members.length > 0;
		if (update && update.version > this.#history.version) {
			this.#applyRules(this.#history.decodeUpdate(update));
		}
	}

	#applyRules(rules: AcceptedRules, routeTable?: RouteTable): void {
		const {snapshot, limits} = rules;
		const before = this.#activeVersion.version;
		if (!this.#activeVersion.applySnapshot(snapshot, routeTable)) {
			return;
		}

		this.#history.add(rules);
		this.#rulesFeed.sendToAll();
		this.#callerListener.setLimits(limits);
		this.announcementHandler.handleRulesChange();
		this.#log.info({
			version: snapshot.version, before, rules: snapshot.rules.length, organisations: snapshot.organisations?.length,
		}, 'Applied a version');
	}

	#createLog(part: string): Logger {
		return createPartLogger(this.#dependencies.log, part);
	}

	#runTask(name: string, task: Promise<void> | undefined): void {
		task?.catch((error: unknown) => {
			this.#log.fatal(`Task "${name}" failed: ${describeError(error)}`);
		});
	}
}
