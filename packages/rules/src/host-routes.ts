/** The routes of one host. */
import {elementsPerStep, type Steps} from '@ebonylead/base/steps.js';
import {
	compareRoutes, findMismatch, getRoute, type RequestHead, type Route,
} from './route.js';
import {type Rule} from './rules.js';

/** The routes of one host, found by the literal beginning of their path, so that a search does not grow with their number. */
export class HostRoutes {
	/** Builds the routes of a host from its rules, which are in the order of the snapshot. */
	static * buildInSteps(rules: readonly Rule[]): Steps<HostRoutes> {
		const host = new HostRoutes(rules);
		for (const [index, rule] of rules.entries()) {
			host.#addRoute(getRoute(rule));
			if (index % elementsPerStep === elementsPerStep - 1) {
				yield;
			}
		}

		host.#sortRoutes();
		return host;
	}

	readonly #rules: readonly Rule[];

	/** Routes by `literalPrefix`, the most specific one first. */
	readonly #routesByPrefix = new Map<string, Route[]>();

	/** Upper bound of the number of segments of a literal prefix. */
	#maxDepth = 0;

	private constructor(rules: readonly Rule[]) {
		this.#rules = rules;
	}

	/** Whether these are the routes of exactly these rules. */
	hasRules(rules: readonly Rule[]): boolean {
		return rules.length === this.#rules.length && rules.every((rule, index) => rule === this.#rules[index]);
	}

	/**
	 * Finds the most specific route for a request.
	 *
	 * @param segments The segments of the request's path.
	 */
	findRoute(request: RequestHead, segments: readonly string[]): Route | undefined {
		let best: Route | undefined;
		let prefix = '';
		for (let depth = 0; depth <= Math.min(this.#maxDepth, segments.length); depth++) {
			if (depth > 0) {
				prefix += `/${segments[depth - 1]!}`;
			}

			const route = this.#routesByPrefix.get(prefix)?.find(candidate => findMismatch(candidate, request, segments) === undefined);
			if (route && (best === undefined || compareRoutes(route, best) < 0)) {
				best = route;
			}
		}

		return best;
	}

	#addRoute(route: Route): void {
		const {literalPrefix, segments} = route;
		this.#maxDepth = Math.max(this.#maxDepth, segments.length);
		const routes = this.#routesByPrefix.get(literalPrefix);
		if (routes) {
			routes.push(route);
		} else {
			this.#routesByPrefix.set(literalPrefix, [route]);
		}
	}

	#sortRoutes(): void {
		for (const routes of this.#routesByPrefix.values()) {
			if (routes.length > 1) {
				routes.sort(compareRoutes);
			}
		}
	}
}
