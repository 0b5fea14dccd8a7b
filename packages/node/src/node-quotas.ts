/** Creates the quotas of a node, and applies the organisations of each version to them and to the local admission queue. */
import {type Clock} from '@ebonylead/base/base.js';
import {createPartLogger} from '@ebonylead/base/logs.js';
import {SystemRandom} from '@ebonylead/base/random.js';
import {MemberState, type Member} from '@ebonylead/peers/generated/peers.js';
import {type Membership} from '@ebonylead/peers/membership.js';
import {type CallQuotas} from '@ebonylead/callers/call-quota.js';
import {type QuotaGate} from '@ebonylead/quotas/quota-gate.js';
import {rankHomes} from '@ebonylead/quotas/quota-home.js';
import {QuotaMetrics} from '@ebonylead/quotas/quota-metrics.js';
import {quotaPath} from '@ebonylead/quotas/quota-messages.js';
import {QuotaNode} from '@ebonylead/quotas/quota-node.js';
import {HttpQuotaTransport} from '@ebonylead/quotas/quota-transport.js';
import {type QuotaBounds} from '@ebonylead/quotas/quotas.js';
import {type ActiveVersion} from '@ebonylead/rules/active-version.js';
import {OrganisationShares} from '@ebonylead/upstreams/organisation-shares.js';
import {CallerTurns} from '@ebonylead/upstreams/queue-shares.js';
import {type LocalUpstream} from '@ebonylead/upstreams/local-upstream.js';
import {type MeshNodeDependencies} from './mesh-node-settings.js';

/** Dependencies of `NodeQuotas`. */
export type NodeQuotasDependencies = {
	readonly membership: Membership;
	readonly activeVersion: ActiveVersion;
	readonly localUpstream: LocalUpstream;
	readonly clock: Clock;
};

/** Weight of an organisation without a rate, and of one that this node does not know yet. */
const defaultWeight = 1;

/** Divides the slots of the local upstream over the organisations of the active version, by their rates; over callers while it has none. */
export function followOrganisations(activeVersion: ActiveVersion, localUpstream: LocalUpstream): void {
	const getWeight = (name: string) => {
		const rate = activeVersion.current.organisations?.findByName(name)?.rate ?? 0;
		return rate > 0 ? rate : defaultWeight;
	};

	let hasOrganisations = false;
	void activeVersion.observeChanges().observe(({organisations}) => {
		if ((organisations !== undefined) !== hasOrganisations) {
			hasOrganisations = organisations !== undefined;
			localUpstream.admission.setQueueShares(hasOrganisations ? new OrganisationShares(getWeight) : new CallerTurns());
		}
	});
}

/** Creates the quotas of a node; undefined if its settings have no bounds for them. */
export function createQuotas(node: MeshNodeDependencies, dependencies: NodeQuotasDependencies): NodeQuotas | undefined {
	followOrganisations(dependencies.activeVersion, dependencies.localUpstream);
	const {quotaWindow, quotaOver, quotaSlack} = node.settings;
	return quotaWindow === undefined ? undefined : new NodeQuotas(node, dependencies, {window: quotaWindow, over: quotaOver ?? 0, slack: quotaSlack ?? 0});
}

/** The quotas at one node. No message is sent while no organisation has a rate. */
export class NodeQuotas implements CallQuotas {
	readonly gate: QuotaGate;

	/** Handlers of the messages of other nodes. */
	readonly messageHandlers: ReadonlyMap<string, (text: string) => string>;
	readonly #transport = new HttpQuotaTransport();
	readonly #quotas: QuotaNode;
	readonly #metrics: QuotaMetrics;
	readonly #membership: Membership;
	#rankedRevision = -1;
	#ranked: readonly Member[] = [];
	#memberCount = 1;

	constructor({settings, log, registry}: MeshNodeDependencies, {membership, activeVersion, clock}: NodeQuotasDependencies, bounds: QuotaBounds) {
		this.#membership = membership;
		this.#quotas = new QuotaNode({
			id: settings.id,
			bounds,
			clock,
			random: new SystemRandom(),
			log: createPartLogger(log, 'quotas'),
			transport: this.#transport,
			listRanked: () => this.#listRanked(),
			findMember: id => membership.findMember(id),
			getMemberCount: () => this.#countMembers(),
		});
		this.gate = this.#quotas.gate;
		this.messageHandlers = new Map([[quotaPath, text => this.#quotas.handleMessage(text)]]);
		this.#metrics = new QuotaMetrics(registry, this.#quotas);
		void activeVersion.observeChanges().observe(({organisations}) => {
			const quotas = (organisations?.listAll() ?? []).flatMap(({name, rate, burst = 0}) => rate ? [{name, rate, burst}] : []);
			this.#quotas.setQuotas(quotas);
		});
	}

	getFirstReply(): Promise<void> | undefined {
		return this.#quotas.getFirstReply();
	}

	recordRefusal(organisation: string): void {
		this.#metrics.recordRefusal(organisation);
	}

	/** Takes part in the quotas until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		await this.#quotas.run(signal);
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#transport.close();
	}

	#listRanked(): readonly Member[] {
		this.#update();
		return this.#ranked;
	}

	#countMembers(): number {
		this.#update();
		return this.#memberCount;
	}

	#update(): void {
		if (this.#membership.revision !== this.#rankedRevision) {
			this.#rankedRevision = this.#membership.revision;
			const members = this.#membership.listAll();
			this.#ranked = rankHomes(members.filter(({state}) => state === MemberState.ALIVE));
			// A member that does not respond may be cut off, and admit requests on its own.
			this.#memberCount = members.filter(({state}) => state !== MemberState.LEFT).length;
		}
	}
}
