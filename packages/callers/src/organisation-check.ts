/**
 * Decides on the arrival of a request which organisation it belongs to, and whether it is served. The load that it answers is every request on routes that are
 * not public: one look-up in memory, before the body is read, so that a request without a valid key takes neither memory nor a slot.
 */
import {type IncomingHttpHeaders} from 'node:http';
import {type Organisation} from '@ebonylead/organisations/organisations.js';
import {type ActiveSnapshot} from '@ebonylead/rules/active-version.js';
import {type Route} from '@ebonylead/rules/route-table.js';
import {outcomes, type Refusal} from '@ebonylead/upstreams/upstreams.js';
import {callResults, type CallResult} from './call-metrics.js';
import {type OrganisationMetrics} from './organisation-metrics.js';

/** Names of the headers by which callers and upstreams identify organisations, in lower case. */
export type OrganisationHeaders = {
	/** Holds the key of a request. It is never sent on. */
	readonly key: string;

	/** Tells an upstream the name of the organisation. A caller's own value is never sent on. */
	readonly name: string;
};

/** Why a request is refused, as a metric label. */
export const accessRefusalCauses = {
	noKey: 'no-key',
	severalKeys: 'several-keys',
	unknownKey: 'unknown-key',

	/** The last confirmation from the store is so old that the key may have been removed. */
	unconfirmed: 'unconfirmed',
} as const;

/** One of `accessRefusalCauses`. */
export type AccessRefusalCause = typeof accessRefusalCauses[keyof typeof accessRefusalCauses];

/** What follows for a request: the organisation that it belongs to, or a refusal. Neither is set on public routes and where there are no organisations. */
export type Access = {
	readonly organisation?: Organisation;
	readonly refusal?: Refusal;

	/** Cause of the refusal, for the log. */
	readonly cause?: AccessRefusalCause;
};

/** The parts of a request that are checked. */
export type CheckedRequest = {
	readonly headers: IncomingHttpHeaders;
	readonly headersDistinct: NodeJS.Dict<string[]>;
};

/** Dependencies of `OrganisationCheck`. */
export type OrganisationCheckDependencies = {
	readonly headers: OrganisationHeaders;

	/** Returns the age in milliseconds of the last confirmation from the store that the active version is the newest; undefined if requests are served whatever its age. */
	readonly getConfirmationAge?: () => number;

	/** Age in milliseconds from which on requests with keys are refused; undefined if they never are. */
	readonly maxConfirmationAge?: number;
	readonly metrics?: OrganisationMetrics;
};

const statusUnauthorized = 401;
const statusUnavailable = 503;

/** Retry delay while the store has not confirmed the version. Another reader takes over within half a second. */
const unconfirmedRetryAfterMs = 500;

/** Access to public routes, and to all where there are no organisations. */
export const publicAccess: Access = {};

/** Repeated headers are joined with this text by Node. */
const joinSeparator = ', ';

/** Checks the keys of requests. */
export class OrganisationCheck {
	readonly #dependencies: OrganisationCheckDependencies;

	constructor(dependencies: OrganisationCheckDependencies) {
		this.#dependencies = dependencies;
	}

	/** Decides on a request to a route, with the version that was active when it arrived. */
	check({organisations}: ActiveSnapshot, route: Route, request: CheckedRequest): Access {
		if (organisations === undefined || route.rule.isPublic) {
			return publicAccess;
		}

		const {getConfirmationAge, maxConfirmationAge, metrics} = this.#dependencies;
		if (maxConfirmationAge !== undefined && getConfirmationAge !== undefined && getConfirmationAge() > maxConfirmationAge) {
			return this.#refuse(accessRefusalCauses.unconfirmed, {
				status: statusUnavailable, outcome: outcomes.notRun, reason: 'the store has not confirmed lately which keys are valid', retryAfter: unconfirmedRetryAfterMs,
			});
		}

		const key = this.#readKey(request);
		if (key === undefined || key === '') {
			return this.#refuseKey(accessRefusalCauses.noKey);
		}

		if (typeof key !== 'string') {
			return this.#refuseKey(accessRefusalCauses.severalKeys);
		}

		const organisation = organisations.findByKey(key);
		if (organisation === undefined) {
			return this.#refuseKey(accessRefusalCauses.unknownKey);
		}

		metrics?.recordRequest(organisation.name);
		return {organisation};
	}

	/** Records how a call ended. */
	recordResult({organisation}: Access, result: CallResult): void {
		if (organisation !== undefined) {
			this.#dependencies.metrics?.recordResult(organisation.name, result, result === callResults.notRun);
		}
	}

	/** Removes the key and the name that the caller gave from the headers that attempts are built from. Changes nothing where there are no organisations. */
	removeHeaders({organisations}: ActiveSnapshot, headers: Record<string, string | string[]>): void {
		if (organisations === undefined) {
			return;
		}

		const {key, name} = this.#dependencies.headers;
		Reflect.deleteProperty(headers, key);
		Reflect.deleteProperty(headers, name);
	}

	/** Returns the only value of the key header, all its values if it was repeated, or undefined. */
	#readKey({headers, headersDistinct}: CheckedRequest): string | string[] | undefined {
		const name = this.#dependencies.headers.key;
		const text = headers[name];
		// Only a text with the separator can be joined from several; the distinct values cost more to build.
		if (typeof text !== 'string' || !text.includes(joinSeparator)) {
			return text;
		}

		const values = headersDistinct[name] ?? [];
		return values.length === 1 ? values[0] : values;
	}

	/** Responds alike whatever is wrong with the key, so that a guess learns nothing. */
	#refuseKey(cause: AccessRefusalCause): Access {
		return this.#refuse(cause, {status: statusUnauthorized, outcome: outcomes.notRun, reason: `the route needs a valid key in the header "${this.#dependencies.headers.key}"`});
	}

	#refuse(cause: AccessRefusalCause, refusal: Refusal): Access {
		this.#dependencies.metrics?.recordRefusal(cause);
		return {refusal, cause};
	}
}
