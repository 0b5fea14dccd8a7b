/** Wires a node whose rules and members lie in a store that nodes share; the only module that makes its parts. */
import {SystemClock, type Clock} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {DecisionLog} from '@ebonylead/base/decision-log.js';
import {createPartLogger, type Logger} from '@ebonylead/base/logs.js';
import {SystemRandom} from '@ebonylead/base/random.js';
import {AttemptAges} from '@ebonylead/callers/attempt-ages.js';
import {BurnCounters} from '@ebonylead/callers/burn-counters.js';
import {CallMetrics} from '@ebonylead/callers/call-metrics.js';
import {type CallerProtocol} from '@ebonylead/callers/caller-protocol.js';
import {CallerListener} from '@ebonylead/callers/callers.js';
import {MeshPools} from '@ebonylead/callers/mesh-pools.js';
import {RequestIds} from '@ebonylead/callers/request-ids.js';
import {RetryBudget} from '@ebonylead/callers/retry-budget.js';
import {TargetChooser} from '@ebonylead/callers/target-chooser.js';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {Membership} from '@ebonylead/peers/membership.js';
import {AppliedVersion} from '@ebonylead/rules/applied-version.js';
import {type AcceptedRules, type RuleSource} from '@ebonylead/rules/rule-source.js';
import {type RowStore} from '@ebonylead/store/row-store.js';
import {CrashDetector} from '@ebonylead/upstreams/crash-detector.js';
import {MeshListener, type StateQuery} from '@ebonylead/upstreams/mesh-listener.js';
import {Quarantine} from '@ebonylead/upstreams/quarantine.js';
import {RefusalMetrics} from '@ebonylead/upstreams/refusal-metrics.js';
import {LocalUpstream} from '@ebonylead/upstreams/local-upstream.js';
import {type UpstreamProtocol} from '@ebonylead/upstreams/upstream-protocol.js';
import {type Registry} from 'prom-client';
import {MemberDirectory} from './member-directory.js';
import {PeerFollower, type PeerState} from './peer-state.js';
import {UpstreamIntake} from './upstream-intake.js';

/** Settings of a mesh node. */
export type MeshNodeSettings = {
	readonly id: string;
	readonly dataCentre: string;
	readonly region: string;
	readonly host: string;

	/** Hosts that may have a node, for a start at which the store does not answer. */
	readonly seedHosts: readonly string[];

	/** Port for the calls of other nodes. */
	readonly meshPort: number;

	/** Port for callers on this VM. */
	readonly callerPort: number;

	/** Retries of the whole fleet beyond the ratio; the nodes share them evenly. */
	readonly retrySlack: number;

	/** Retries for each first try. */
	readonly retryRatio: number;

	/** Longest time of a planned stop in milliseconds. */
	readonly stopTimeout: number;
};

/** What speaks to the outside of a mesh node. */
export type MeshNodeParts = {
	readonly settings: MeshNodeSettings;
	readonly store: RowStore;
	readonly ruleSource: RuleSource;
	readonly callerProtocol: CallerProtocol;
	readonly upstreamProtocol: UpstreamProtocol;
	readonly registry: Registry;
	readonly log: Logger;
};

/** Time in milliseconds for which a stopping node still takes calls: callers need it to hear that it is not ready. */
const stillServingTime = 3000;

/** Part of the stop timeout that is kept for closing, in milliseconds. */
const closingReserve = 800;

/** Longest wait in milliseconds for the store to take the row of a stopping node. */
const leaveNoticeTime = 500;

/** Time in milliseconds in which the last answers leave. */
const lastAnswersTime = 150;
const openPollPeriod = 20;
const instanceLimit = 0x1_00_00_00_00;

/** One node beside one upstream. */
export class MeshNode {
	/** Takes what the upstream announces. */
	readonly intake: UpstreamIntake;
	readonly #parts: MeshNodeParts;
	readonly #clock: Clock = new SystemClock();
	readonly #random = new SystemRandom();
	readonly #log: Logger;
	readonly #controller = new AbortController();
	readonly #applied = new AppliedVersion();
	readonly #membership = new Membership();
	readonly #pools = new MeshPools(this.#clock);
	readonly #link: LocalUpstream;
	readonly #directory: MemberDirectory;
	readonly #mesh: MeshListener;
	readonly #callers: CallerListener;
	readonly #peers: PeerFollower;
	#rules: AcceptedRules | undefined;
	#isPeerKnown = false;
	#isStopping = false;

	constructor(parts: MeshNodeParts) {
		const {settings, store, callerProtocol, upstreamProtocol, registry} = parts;
		const clock = this.#clock;
		const random = this.#random;
		this.#parts = parts;
		this.#log = this.#createLog('node');
		this.#link = new LocalUpstream(clock, this.#createLog('upstream'));
		this.#directory = new MemberDirectory({
			store, membership: this.#membership, clock, log: this.#createLog('members'), self: this.#createMember(), onRestored: (member, upstream) => {
				if (member && upstream) {
					this.intake.restore(upstream, member.upstreamState);
				}
			},
		});
		this.intake = new UpstreamIntake(this.#link, this.#directory, this.#createLog('upstream'));
		const quarantine = new Quarantine(clock);
		const crashes = new CrashDetector(this.#link, quarantine, this.#createLog('mesh'), () => undefined);
		this.#mesh = new MeshListener({
			localUpstream: this.#link,
			quarantine,
			crashDetector: crashes,
			protocol: upstreamProtocol,
			clock,
			log: this.#createLog('mesh'),
			decisions: new DecisionLog(this.#createLog('mesh'), clock),
			refusalMetrics: new RefusalMetrics(registry),
			getState: question => this.#describeState(question),
			getVersion: () => this.#applied.version,
			onVersion: (version, origin) => {
				this.#peers.recordVersion(version, origin);
			},
		});
		this.#peers = new PeerFollower({
			self: this.#directory.self,
			seedHosts: settings.seedHosts,
			membership: this.#membership,
			clock,
			random,
			log: this.#createLog('peers'),
			isStoreLost: () => parts.ruleSource.isLost || this.#directory.isLost,
			getVersion: () => this.#applied.version,
			onState: state => {
				this.#mergeState(state);
			},
		});
		this.#callers = new CallerListener({
			applied: this.#applied,
			chooser: new TargetChooser(this.#membership, settings.dataCentre, clock, random),
			pools: this.#pools,
			protocol: callerProtocol,
			ages: new AttemptAges(),
			budget: new RetryBudget(settings.retryRatio, () => settings.retrySlack / Math.max(1, this.#membership.activeCount)),
			metrics: new CallMetrics(registry),
			requestIds: new RequestIds(random),
			burn: new BurnCounters(clock),
			clock,
			random,
			log: this.#createLog('callers'),
			decisions: new DecisionLog(this.#createLog('callers'), clock),
			origin: `http://${settings.host}:${settings.meshPort}`,
			onVersion: (version, origin) => {
				this.#peers.recordVersion(version, origin);
			},
			isReady: () => this.#isServing,
		});
	}

	/** Whether callers should send calls to this node. */
	get isReady(): boolean {
		return this.#isServing && !this.#isStopping;
	}

	/** Opens the listeners and starts the tasks. */
	async start(): Promise<void> {
		const {settings, ruleSource} = this.#parts;
		const {signal} = this.#controller;
		await this.#mesh.listen(settings.host, settings.meshPort);
		await this.#callers.listen(settings.host, settings.callerPort);
		this.#runTask('rules', ruleSource.run(signal, rules => {
			this.#applyRules(rules);
		}));
		this.#runTask('members', this.#directory.run(signal));
		this.#runTask('peers', this.#peers.run(signal));
		this.#runTask('upstream', this.#link.run(signal));
		this.#runTask('upstream state', this.intake.run());
		this.#log.info({node: settings.id}, 'Started');
	}

	/**
	 * Tells the others first, serves what still comes, ends what is in flight, then closes.
	 *
	 * @returns Count of calls that were cut.
	 */
	async stop(): Promise<number> {
		const startedAt = this.#clock.now();
		this.#isStopping = true;
		this.#log.info({open: this.#openCount}, 'Stops');
		this.#link.admission.close();
		this.#callers.startClosing();
		await this.#directory.change({state: MemberState.LEFT}, leaveNoticeTime);
		const end = startedAt + this.#parts.settings.stopTimeout - closingReserve;
		await this.#clock.sleep(startedAt + stillServingTime - this.#clock.now());
		this.#callers.refuseNew();
		while (this.#openCount > 0 && this.#clock.now() < end) {
			await this.#clock.sleep(openPollPeriod);
		}

		const cut = this.#openCount;
		this.#callers.cancelOpen('this node stops');
		await this.#clock.sleep(lastAnswersTime);
		this.#log.info({cut, duration: Math.round(this.#clock.now() - startedAt)}, 'Stopped');
		await this.close();
		return cut;
	}

	/** Closes everything at once. */
	async close(): Promise<void> {
		this.#controller.abort();
		this.#callers.close();
		this.#callers.cut();
		this.#mesh.close();
		this.#mesh.closeAllConnections();
		await Promise.all([this.#pools.close(), this.#link.close()]);
	}

	get #isServing(): boolean {
		return this.#applied.version > 0 && (this.#directory.isKnown || this.#isPeerKnown);
	}

	get #openCount(): number {
		return this.#callers.openCount + this.#mesh.openCount;
	}

	#describeState({version, includeMembers: wantsMembers}: StateQuery): PeerState {
		return {
			rules: version < this.#applied.version ? this.#rules : undefined,
			members: wantsMembers ? this.#membership.listAll().filter(member => member.state === MemberState.ALIVE) : [],
		};
	}

	#mergeState({rules, members}: PeerState): void {
		this.#membership.merge(members.filter(member => member.id !== this.#parts.settings.id), this.#clock.now());
		this.#isPeerKnown ||= members.length > 0;
		if (rules) {
			this.#applyRules(rules);
		}
	}

	#applyRules(rules: AcceptedRules): void {
		const {snapshot, limits} = rules;
		const before = this.#applied.version;
		if (!this.#applied.applySnapshot(snapshot)) {
			return;
		}

		this.#rules = rules;
		if (limits) {
			this.#callers.setLimits(limits);
		}

		this.#log.info({version: snapshot.version, before, rules: snapshot.rules.length}, 'Applied a version');
	}

	#createMember(): Member {
		const {id, dataCentre, region, host, meshPort} = this.#parts.settings;
		return {
			id,
			incarnation: 0,
			dataCentre,
			region,
			host,
			peerPort: meshPort,
			meshPort,
			state: MemberState.ALIVE,
			service: '',
			upstreamState: UpstreamState.ABSENT,
			slots: 0,
			instance: Math.floor(this.#random.next() * instanceLimit),
		};
	}

	#createLog(part: string): Logger {
		return createPartLogger(this.#parts.log, part);
	}

	#runTask(name: string, task: Promise<void>): void {
		task.catch((error: unknown) => {
			this.#log.fatal(`The task "${name}" ended: ${describeError(error)}`);
		});
	}
}
