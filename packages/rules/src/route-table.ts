/** Finds the rule for a request. */
import {getRuleKey, type Rule, type Snapshot} from './rules.js';

/** The parts of a request against which rules are matched. */
export type RequestHead = {
	readonly method: string;

	/** The host of the request, in lower case. */
	readonly host: string;

	/** The path without its query. */
	readonly path: string;

	/** Header values by lower-case name. */
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
};

/** A rule prepared for matching. */
export type Route = {
	readonly rule: Rule;
	readonly key: string;

	/** Segments of the path pattern, without a closing `**`. */
	readonly segments: readonly string[];

	/** Whether the path pattern ends with `**`. */
	readonly isPrefix: boolean;
};

/** The first part of a request that a rule does not match; undefined if it matches all. */
export type MismatchReason = 'method' | 'host' | 'path' | 'header' | undefined;

/**
 * The routes of one snapshot, the most specific one first.
 *
 * The order does not depend on the order of lines in the file, so that a merge
 * of two edits can't change which rule wins.
 */
export class RouteTable {
	readonly snapshot: Snapshot;
	readonly routes: readonly Route[];
	readonly #routesByHost: ReadonlyMap<string, readonly Route[]>;

	constructor(snapshot: Snapshot) {
		this.snapshot = snapshot;
		this.routes = snapshot.rules.map(rule => getRoute(rule)).toSorted(compareRoutes);
		this.#routesByHost = buildRoutesByHost(this.routes);
	}

	/** Finds the most specific route for a request. */
	findRoute(request: RequestHead): Route | undefined {
		const segments = request.path.split('/').slice(1);
		return this.#findRouteOfHost(request.host, request, segments) ?? this.#findRouteOfHost('*', request, segments);
	}

	/** Finds the route whose rule has the given key. */
	findRouteByKey(key: string): Route | undefined {
		return this.routes.find(route => route.key === key);
	}

	#findRouteOfHost(host: string, request: RequestHead, segments: string[]): Route | undefined {
		return this.#routesByHost.get(host)?.find(route => findMismatch(route, request, segments) === undefined);
	}
}

/**
 * Finds the first part of a request that a route does not match; undefined if the route matches.
 *
 * @param segments The segments of the request's path.
 */
export function findMismatch(route: Route, request: RequestHead, segments: readonly string[] = request.path.split('/').slice(1)): MismatchReason {
	const {rule} = route;
	if (rule.host !== '*' && rule.host !== request.host) {
		return 'host';
	}

	if (rule.methods.length > 0 && !rule.methods.includes(request.method)) {
		return 'method';
	}

	if (!isPathMatch(route, segments)) {
		return 'path';
	}

	return rule.headers.every(header => request.headers[header.name] === header.value) ? undefined : 'header';
}

function isPathMatch(route: Route, segments: readonly string[]): boolean {
	const pattern = route.segments;
	const hasMatchingLength = route.isPrefix ? segments.length >= pattern.length : segments.length === pattern.length;
	return hasMatchingLength && pattern.every((part, index) => part === '*' || part === segments[index]);
}

/** Caches routes by rule, as a new version keeps most rules of the previous one. */
const routeCache = new WeakMap<Rule, Route>();

function getRoute(rule: Rule): Route {
	let route = routeCache.get(rule);
	if (route === undefined) {
		route = buildRoute(rule);
		routeCache.set(rule, route);
	}

	return route;
}

function buildRoute(rule: Rule): Route {
	const segments = rule.path.split('/').slice(1);
	const isPrefix = segments.at(-1) === '**';
	return {
		rule,
		key: getRuleKey(rule),
		segments: isPrefix ? segments.slice(0, -1) : segments,
		isPrefix,
	};
}

function buildRoutesByHost(routes: readonly Route[]): Map<string, Route[]> {
	const groups = new Map<string, Route[]>();
	for (const route of routes) {
		const group = groups.get(route.rule.host);
		if (group) {
			group.push(route);
		} else {
			groups.set(route.rule.host, [route]);
		}
	}

	return groups;
}

/** Orders routes by specificity: exact paths before prefixes, then more segments, fewer wildcards, more headers, fewer methods. */
function compareRoutes(left: Route, right: Route): number {
	return Number(left.isPrefix) - Number(right.isPrefix)
		|| right.segments.length - left.segments.length
		|| countWildcards(left) - countWildcards(right)
		|| right.rule.headers.length - left.rule.headers.length
		|| countMethods(left) - countMethods(right)
		|| (left.key < right.key ? -1 : 1);
}

function countWildcards(route: Route): number {
	return route.segments.filter(segment => segment === '*').length;
}

function countMethods(route: Route): number {
	return route.rule.methods.length === 0 ? Number.MAX_SAFE_INTEGER : route.rule.methods.length;
}
