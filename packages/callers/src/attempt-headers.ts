/** Headers of a try, from the entry to the node beside an upstream. */
import {type Route} from '@ebonylead/rules/route-table.js';
import {meshHeaders} from '@ebonylead/upstreams/upstreams.js';

/** Facts of a try. */
export type AttemptFacts = {
	readonly route: Route;
	readonly service: string;

	/** Count of the try, from 1. */
	readonly attempt: number;

	/** Upstreams that died while the call was in flight there. */
	readonly crashes: number;

	/** Milliseconds that are left of the deadline. */
	readonly timeLeft: number;

	/** Milliseconds that are left of the objective; undefined where the rule has none. */
	readonly objectiveLeft: number | undefined;

	/** Where the entry takes calls of other nodes; undefined where nodes don't tell each other versions on calls. */
	readonly origin: string | undefined;

	/** Version in force at the entry. */
	readonly version: number;
};

/** Sets the headers of a try. Few headers, as each costs time at both ends: defaults are left out. */
export function setAttemptHeaders(headers: Record<string, string | string[]>, facts: AttemptFacts): void {
	const {rule, key} = facts.route;
	headers[meshHeaders.service] = facts.service;
	headers[meshHeaders.route] = key;
	headers[meshHeaders.deadline] = formatDuration(facts.timeLeft);
	if (facts.objectiveLeft !== undefined) {
		headers[meshHeaders.objective] = formatDuration(facts.objectiveLeft);
	}

	if (rule.priority !== undefined) {
		headers[meshHeaders.priority] = String(rule.priority);
	}

	if (facts.attempt > 1) {
		headers[meshHeaders.attempt] = String(facts.attempt);
	}

	if (facts.crashes > 0) {
		headers[meshHeaders.suspect] = String(facts.crashes);
	}

	if (facts.origin !== undefined) {
		headers[meshHeaders.origin] = facts.origin;
		headers[meshHeaders.version] = String(facts.version);
	}

	if (rule.slots !== undefined) {
		headers[meshHeaders.routeSlots] = String(rule.slots);
	}
}

/** Whole milliseconds, at least one: a node refuses what has no time left by its own estimate. */
function formatDuration(duration: number): string {
	return String(Math.max(1, Math.floor(duration)));
}
