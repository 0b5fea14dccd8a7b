/** Finds the rule for a request. */
import {elementsPerStep, runSteps, type Steps} from '@ebonylead/base/steps.js';
import {HostRoutes} from './host-routes.js';
import {
	compareRoutes, getRoute, type RequestHead, type Route,
} from './route.js';
import {type Rule, type Snapshot} from './rules.js';

export {
	findMismatch, type MismatchReason, type RequestHead, type Route,
} from './route.js';

/**
 * The routes of one snapshot.
 *
 * Which route wins does not depend on the order of lines in the file, so that
 * a merge of two edits can't change it.
 */
export class RouteTable {
	/** Builds a table in steps. */
	static * buildInSteps(snapshot: Snapshot, previous?: RouteTable): Steps<RouteTable> {
		return new RouteTable(snapshot, previous, yield * buildHosts(snapshot.rules, previous));
	}

	readonly snapshot: Snapshot;
	readonly #hosts: ReadonlyMap<string, HostRoutes>;
	#routes: readonly Route[] | undefined;

	/**
	 * @param previous Table of an earlier snapshot; hosts whose rules are the same objects are taken from it.
	 * @param hosts Routes by host, if they are built already.
	 */
	constructor(snapshot: Snapshot, previous?: RouteTable, hosts: ReadonlyMap<string, HostRoutes> = runSteps(buildHosts(snapshot.rules, previous))) {
		this.snapshot = snapshot;
		this.#hosts = hosts;
	}

	/** All routes, the most specific one first. Sorted on the first access, as no call needs them. */
	get routes(): readonly Route[] {
		this.#routes ??= this.snapshot.rules.map(rule => getRoute(rule)).toSorted(compareRoutes);
		return this.#routes;
	}

	/** Finds the most specific route for a request. */
	findRoute(request: RequestHead): Route | undefined {
		const segments = request.path.split('/').slice(1);
		return this.#hosts.get(request.host)?.findRoute(request, segments) ?? this.#hosts.get('*')?.findRoute(request, segments);
	}

	/** Finds the route whose rule has the given key. */
	findRouteByKey(key: string): Route | undefined {
		return this.routes.find(route => route.key === key);
	}

	/** Finds the routes of a host. */
	findHostRoutes(host: string): HostRoutes | undefined {
		return this.#hosts.get(host);
	}
}

function * buildHosts(rules: readonly Rule[], previous: RouteTable | undefined): Steps<Map<string, HostRoutes>> {
	const hosts = new Map<string, HostRoutes>();
	for (const [host, hostRules] of yield * buildRulesByHost(rules)) {
		const before = previous?.findHostRoutes(host);
		hosts.set(host, before?.hasRules(hostRules) ? before : yield * HostRoutes.buildInSteps(hostRules));
		yield;
	}

	return hosts;
}

function * buildRulesByHost(rules: readonly Rule[]): Steps<Map<string, Rule[]>> {
	const groups = new Map<string, Rule[]>();
	for (const [index, rule] of rules.entries()) {
		const group = groups.get(rule.host);
		if (group) {
			group.push(rule);
		} else {
			groups.set(rule.host, [rule]);
		}

		if (index % elementsPerStep === elementsPerStep - 1) {
			yield;
		}
	}

	return groups;
}
