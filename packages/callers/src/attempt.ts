/** One attempt of a call at one upstream, over another node or in this process. */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {describeError} from '@ebonylead/base/errors.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {type Route} from '@ebonylead/rules/route-table.js';
import {type CallQuarantine} from '@ebonylead/upstreams/call-quarantine.js';
import {type Cancellation} from '@ebonylead/upstreams/cancellation.js';
import {type ForwardResult, type ResponseHeaders} from '@ebonylead/upstreams/forward.js';
import {type RequestBody} from '@ebonylead/upstreams/request-body.js';
import {type Refusal} from '@ebonylead/upstreams/upstreams.js';
import {formatChoice, type ChoiceInputs} from './candidate-ranking.js';

/** How an attempt ended: as its request did, with a refusal, or its sidecar told that it had not received it. */
export type AttemptResult
	= | Exclude<ForwardResult, {readonly kind: 'rejected'}>
		| RejectedAttempt
		| {readonly kind: 'not-received'; readonly error: Error};

/** The attempt got no response that is forwarded to the caller: the sidecar refused it, or the upstream failed and the call may be retried. */
export type RejectedAttempt = {
	readonly kind: 'rejected';
	readonly refusal: Refusal;

	/** Why, for the log. */
	readonly detail: string;

	/** What the sidecar knows of crashes at which an equal request was in flight, encoded; undefined if that is nothing new. */
	readonly crashes: string | string[] | undefined;
};

/** Options that all attempts have. */
export type AttemptOptions = {
	readonly id: string;
	readonly member: Member;
	readonly body: RequestBody;

	/** By what the upstream was chosen; undefined if by its load alone. */
	readonly choice?: ChoiceInputs;
	readonly response: ServerResponse;

	/** Cancels the call. */
	readonly cancellation: Cancellation;

	/** Time in milliseconds until the deadline of the call. */
	readonly timeLeft: number;
	readonly isForwardable: (status: number, headers: ResponseHeaders) => boolean;
	readonly buildExtraHeaders: () => Record<string, string>;

	/** Called before the first byte of the response is written to the caller. */
	readonly onForward: () => void;
};

/** An attempt, and the call that it is made for. */
export type CallAttempt = AttemptOptions & {
	/** The caller's request. */
	readonly incoming: IncomingMessage;
	readonly route: Route;
	readonly service: string;

	/** Name of the caller, for fair queueing between callers. */
	readonly caller: string;

	/** Number of the attempt, from 1. */
	readonly attempt: number;

	/** Remaining time of the latency objective in milliseconds; undefined if the rule has none. */
	readonly objectiveLeft: number | undefined;
	readonly quarantine: CallQuarantine;

	/** End-to-end headers of the call; they are not changed. */
	readonly headers: Readonly<Record<string, string | string[]>>;
};

/** An attempt in flight. It starts when it is created. */
export type Attempt = {
	readonly id: string;
	readonly member: Member;

	/** Resolves when the attempt ended. */
	readonly ended: Promise<AttemptResult>;

	/** Resolves when the response may be lost, so that the call may be sent to another node as well; undefined if it can't be lost on its way. */
	readonly suspected: Promise<void> | undefined;

	/** Cancels the attempt, as another one of the call responded. */
	cancel(): void;

	/** Describes the attempt and its end in one line, for the log. */
	describe(result: AttemptResult): string;
};

/** Describes how an attempt at a member ended, for the log. */
export function describeEnd(member: Member, result: AttemptResult, duration: number, choice: ChoiceInputs | undefined): string {
	const version = member.upstreamVersion === undefined ? '' : ` ${member.upstreamVersion}`;
	const inputs = choice === undefined ? '' : `; chosen by ${formatChoice(choice)}`;
	return `${member.id} r${member.incarnation}${version} ${result.kind} after ${Math.round(duration)} ms: ${describeDetail(result)}${inputs}`;
}

function describeDetail(result: AttemptResult): string {
	switch (result.kind) {
		case 'rejected': {
			return result.detail;
		}

		case 'answered': {
			return String(result.status);
		}

		case 'not-run': {
			return result.reason;
		}

		case 'unsent':
		case 'unanswered':
		case 'cut':
		case 'not-received': {
			return describeError(result.error);
		}
	}
}
