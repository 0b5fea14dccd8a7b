/** Implements the operations that a node offers to operators. */
import {
	type ExplainReport, type OperatorHandlers, type RuleExplanation, type StatusReport, type SubmitEvent, type SubmitRequest,
} from '@ebonylead/operators/operators.js';
import {buildBurnRows, type BurnReport, type Objectives} from '@ebonylead/operators/burn-report.js';
import {burnWindows} from '@ebonylead/callers/burn-counters.js';
import {type TargetChooser} from '@ebonylead/callers/target-chooser.js';
import {MemberState, UpstreamState, type DataCentreCount} from '@ebonylead/peers/generated/peers.js';
import {type GrpcTransport} from '@ebonylead/peers/grpc-transport.js';
import {type PeerNode} from '@ebonylead/peers/peer-node.js';
import {type ActiveVersion} from '@ebonylead/rules/active-version.js';
import {findMismatch, type RequestHead, type Route} from '@ebonylead/rules/route-table.js';
import {formatRuleFile} from '@ebonylead/rules/rule-file.js';
import {formatRule} from '@ebonylead/rules/rules.js';
import {type Registry} from 'prom-client';
import {type HeadWatcher} from './head-watcher.js';
import {type SubmissionRunner} from './submission-runner.js';

/** Dependencies of `NodeOperations`. */
export type NodeOperationsDependencies = {
	readonly submissions: SubmissionRunner;
	readonly activeVersion: ActiveVersion;
	readonly chooser: TargetChooser;
	readonly peers: PeerNode;
	readonly watcher: HeadWatcher;
	readonly registry: Registry;
	readonly transport: GrpcTransport;
	readonly isReady: () => boolean;
	readonly objectives: Objectives;
};

/** Maximum number of routes that an explanation lists besides the one that matched. */
const maxExplainedRoutes = 50;

/** Handles the requests of operators, with the state of this node and a census of the other nodes. */
export class NodeOperations implements OperatorHandlers {
	readonly #dependencies: NodeOperationsDependencies;

	constructor(dependencies: NodeOperationsDependencies) {
		this.#dependencies = dependencies;
	}

	async submit(request: SubmitRequest, onEvent: (event: SubmitEvent) => void): Promise<void> {
		await this.#dependencies.submissions.run(request, onEvent);
	}

	async buildStatus(): Promise<StatusReport> {
		const {peers, activeVersion, watcher} = this.#dependencies;
		const census = await peers.fetchCensus();
		const members = peers.membership.listAll();
		return {
			node: peers.self.id,
			dataCentre: peers.self.dataCentre,
			version: activeVersion.version,
			isReady: this.#dependencies.isReady(),
			organisations: activeVersion.current.organisations?.listAll().length,
			store: watcher.health,
			members: peers.membership.aliveCount,
			suspected: peers.suspected,
			draining: members.filter(member => member.upstreamState === UpstreamState.DRAINING).map(member => member.id),
			dataCentres: buildDataCentreStatus(census.counts),
			laggards: census.laggards,
			unreached: census.unreached,
			controlBytes: census.controlBytes,
			quarantined: census.quarantined,
		};
	}

	formatRules(): string {
		return formatRuleFile(this.#dependencies.activeVersion.current.encoded.snapshot);
	}

	explain(request: RequestHead): ExplainReport {
		const {activeVersion} = this.#dependencies;
		const {routeTable: routes, encoded} = activeVersion.current;
		const chosen = routes.findRoute(request);
		const others = routes.routes.filter(route => route !== chosen).slice(0, maxExplainedRoutes);
		return {
			version: encoded.snapshot.version,
			chosen: chosen && explainRoute(chosen, request),
			others: others.map(route => explainRoute(route, request)),
			upstreams: chosen === undefined ? [] : this.#explainUpstreams(chosen),
		};
	}

	async buildReport(): Promise<BurnReport> {
		const {peers, activeVersion, objectives} = this.#dependencies;
		const census = await peers.fetchCensus(true);
		const {snapshot} = activeVersion.current.encoded;
		return {
			version: snapshot.version,
			windows: burnWindows.map(window => window.name),
			rows: buildBurnRows(census.calls, snapshot.rules, objectives),
			unreached: census.unreached,
		};
	}

	async formatMetrics(): Promise<string> {
		return this.#dependencies.registry.metrics();
	}

	isReady(): boolean {
		return this.#dependencies.isReady();
	}

	#explainUpstreams(route: Route): ExplainReport['upstreams'] {
		const {peers, chooser} = this.#dependencies;
		const services = new Set(route.rule.split.map(share => share.service));
		const members = peers.membership.listAll().filter(member => services.has(member.service));
		return members.map(member => ({
			id: member.id,
			service: member.service,
			dataCentre: member.dataCentre,
			exclusion: describeState(member) ?? chooser.findExclusion(member),
		}));
	}
}

function describeState(member: {state: MemberState; upstreamState: UpstreamState}): string | undefined {
	if (member.state !== MemberState.ALIVE) {
		return MemberState[member.state].toLowerCase();
	}

	return member.upstreamState === UpstreamState.READY ? undefined : UpstreamState[member.upstreamState].toLowerCase();
}

function explainRoute(route: Route, request: RequestHead): RuleExplanation {
	return {
		rule: formatRule(route.rule),
		since: route.rule.since,
		askedBy: route.rule.askedBy,
		mismatch: findMismatch(route, request),
	};
}

function buildDataCentreStatus(counts: readonly DataCentreCount[]): StatusReport['dataCentres'] {
	const names = [...new Set(counts.map(count => count.dataCentre))].toSorted();
	return names.map(dataCentre => {
		const dataCentreCounts = counts.filter(count => count.dataCentre === dataCentre);
		return {
			dataCentre,
			members: dataCentreCounts.reduce((sum, count) => sum + count.count, 0),
			versions: dataCentreCounts.map(({version, count}) => ({version, count})).toSorted((left, right) => right.version - left.version),
		};
	});
}
