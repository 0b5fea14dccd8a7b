/** Rules prepared for matching, and their order. */
import {getRuleKey, type Rule} from './rules.js';

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

	/** Number of segments that match any text. */
	readonly wildcardCount: number;

	/** The path pattern up to its first wildcard: every path that matches begins with it. */
	readonly literalPrefix: string;
};

/** The first part of a request that a rule does not match; undefined if it matches all. */
export type MismatchReason = 'method' | 'host' | 'path' | 'header' | undefined;

const wildcard = '*';

/** Caches routes by rule, as a new version keeps most rules of the previous one. */
const routeCache = new WeakMap<Rule, Route>();

/** Returns the route of a rule; the same one for the same rule. */
export function getRoute(rule: Rule): Route {
	let route = routeCache.get(rule);
	if (route === undefined) {
		route = buildRoute(rule);
		routeCache.set(rule, route);
	}

	return route;
}

function buildRoute(rule: Rule): Route {
	const pattern = rule.path.split('/').slice(1);
	const isPrefix = pattern.at(-1) === '**';
	const segments = isPrefix ? pattern.slice(0, -1) : pattern;
	const firstWildcard = segments.indexOf(wildcard);
	const literals = firstWildcard === -1 ? segments : segments.slice(0, firstWildcard);
	return {
		rule,
		key: getRuleKey(rule),
		segments,
		isPrefix,
		wildcardCount: segments.filter(segment => segment === wildcard).length,
		literalPrefix: literals.map(segment => `/${segment}`).join(''),
	};
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
	return hasMatchingLength && pattern.every((part, index) => part === wildcard || part === segments[index]);
}

/** Orders routes by specificity: exact paths before prefixes, then more segments, fewer wildcards, more headers, fewer methods. */
export function compareRoutes(left: Route, right: Route): number {
	return Number(left.isPrefix) - Number(right.isPrefix)
		|| right.segments.length - left.segments.length
		|| left.wildcardCount - right.wildcardCount
		|| right.rule.headers.length - left.rule.headers.length
		|| countMethods(left) - countMethods(right)
		|| compareKeys(left.key, right.key);
}

function countMethods(route: Route): number {
	return route.rule.methods.length === 0 ? Number.MAX_SAFE_INTEGER : route.rule.methods.length;
}

function compareKeys(left: string, right: string): number {
	return left < right ? -1 : Number(left > right);
}
