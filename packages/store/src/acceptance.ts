/** Accepts submissions as new versions of the rules. */
import {computeBackoff, type Clock, type Random} from '@ebonylead/base/base.js';
import {OutcomeUnknownError, describeError} from '@ebonylead/base/errors.js';
import {type Organisation} from '@ebonylead/organisations/organisations.js';
import {type EncodedSnapshot, type Rule} from '@ebonylead/rules/rules.js';
import {mergeRules, type RuleConflict, type RuleMerge} from '@ebonylead/rules/rule-merge.js';
import {encodeSnapshot} from '@ebonylead/rules/snapshot-codec.js';
import {Left, Right, type Either} from 'purify-ts';
import {type ObjectStore, type TableService} from './store.js';
import {type Head, type VersionRecord, type VersionStore} from './versions.js';

/** A rule file that an operator submits. */
export type Submission = {
	/** Identifies the submission; chosen by the operator's program, and reused when the submission is sent again. */
	readonly id: string;

	/** The version that the file was edited from. */
	readonly baseVersion: number;
	readonly submitter: string;
	readonly rules: readonly Rule[];

	/** Undefined if the file names none. */
	readonly organisations?: readonly Organisation[];
};

/** Why a submission was not accepted. With `outcome-unknown` it may have been accepted nevertheless. */
export type SubmissionRefusal
	= | {readonly kind: 'conflict'; readonly conflicts: readonly RuleConflict[]}
		| {readonly kind: 'base-unknown'; readonly baseVersion: number; readonly headVersion: number}
		| {readonly kind: 'unavailable'; readonly reason: string}
		| {readonly kind: 'outcome-unknown'; readonly reason: string};

/** An accepted submission. */
export type Acceptance = {
	readonly record: VersionRecord;

	/** Snapshot of the version; undefined if the submission had already been accepted. */
	readonly snapshot?: EncodedSnapshot;

	/** Snapshot of the preceding version; undefined if the submission had already been accepted. */
	readonly base?: EncodedSnapshot;
};

/** Dependencies of `Acceptor`. */
export type AcceptorDependencies = {
	readonly table: TableService;
	readonly objects: ObjectStore;
	readonly versions: VersionStore;
	readonly clock: Clock;
	readonly random: Random;
};

const maxAttempts = 20;

/** Number of attempts up to which any error is retried once the outcome of a transaction is unknown, as a retry may find the outcome. */
const maxUnknownOutcomeAttempts = 8;
const backoffBaseMs = 50;
const maxBackoffMs = 1000;

/** Outcome of one attempt; `raced` if another submission changed the head first. */
type AttemptOutcome = Either<SubmissionRefusal, Acceptance> | 'raced';

/**
 * Accepts each submission by one transaction on the platform's table service.
 *
 * Any number of nodes may do so concurrently: the condition on the head row lets
 * exactly one transaction create each version. A transaction also requires that
 * the submission has no row yet, so that a retry after a lost response can't take
 * effect a second time.
 */
export class Acceptor {
	readonly #dependencies: AcceptorDependencies;

	constructor(dependencies: AcceptorDependencies) {
		this.#dependencies = dependencies;
	}

	/** Accepts a submission, or returns why it was refused. Submitting an id that was already accepted has no further effect. */
	async submit(submission: Submission): Promise<Either<SubmissionRefusal, Acceptance>> {
		const {clock, random} = this.#dependencies;
		let unknownOutcome: OutcomeUnknownError | undefined;
		for (let attempt = 1; attempt <= maxAttempts; attempt++) {
			try {
				const outcome = await this.#submitOnce(await this.#dependencies.versions.readHead(), submission);
				if (outcome !== 'raced') {
					return outcome;
				}
			} catch (error) {
				if (error instanceof OutcomeUnknownError) {
					unknownOutcome = error;
				} else if (unknownOutcome === undefined || attempt > maxUnknownOutcomeAttempts) {
					return Left(buildRefusal(error, unknownOutcome));
				}
			}

			await clock.sleep(computeBackoff(random, attempt, backoffBaseMs, maxBackoffMs));
		}

		return Left(buildRefusal(new Error(`${maxAttempts} other submissions were accepted in the meantime`), unknownOutcome));
	}

	async #submitOnce(head: Head, submission: Submission): Promise<AttemptOutcome> {
		const {versions, objects} = this.#dependencies;
		const earlier = await versions.readSubmission(submission.id);
		if (earlier !== undefined) {
			return Right({record: earlier});
		}

		const headSnapshot = await versions.readSnapshot(head.digest);
		const merge = await this.#merge(head, headSnapshot, submission);
		if (merge.isLeft()) {
			return merge;
		}

		const {rules, organisations, changed, merged} = merge.extract() as RuleMerge;
		const snapshot = encodeSnapshot({version: head.version + 1, rules, ...(organisations === undefined ? {} : {organisations})});
		await objects.writeObject(snapshot.digest, snapshot.bytes);
		const record: VersionRecord = {
			version: head.version + 1,
			digest: snapshot.digest,
			submissionId: submission.id,
			submitter: submission.submitter,
			acceptedAt: this.#dependencies.clock.wallTime(),
			changed,
			merged,
		};
		const isCommitted = await this.#commit(head, record);
		return isCommitted ? Right({record, snapshot, base: headSnapshot}) : 'raced';
	}

	async #merge(head: Head, headSnapshot: EncodedSnapshot, submission: Submission): Promise<Either<SubmissionRefusal, RuleMerge>> {
		const {versions} = this.#dependencies;
		const baseDigest = await this.#findDigest(head, submission.baseVersion);
		if (baseDigest === undefined) {
			return Left({kind: 'base-unknown', baseVersion: submission.baseVersion, headVersion: head.version});
		}

		const baseSnapshot = baseDigest === head.digest ? headSnapshot : await versions.readSnapshot(baseDigest);
		return mergeRules({
			base: baseSnapshot.snapshot,
			head: headSnapshot.snapshot,
			submitted: submission.rules,
			submittedOrganisations: submission.organisations,
			nextVersion: head.version + 1,
		}).mapLeft((conflicts): SubmissionRefusal => ({kind: 'conflict', conflicts}));
	}

	async #findDigest(head: Head, version: number): Promise<string | undefined> {
		if (version === head.version) {
			return head.digest;
		}

		if (version === 0) {
			return encodeSnapshot({version: 0, rules: []}).digest;
		}

		const record = await this.#dependencies.versions.readVersion(version);
		return record?.digest;
	}

	async #commit(head: Head, record: VersionRecord): Promise<boolean> {
		const {table, versions} = this.#dependencies;
		const submissionKey = versions.buildSubmissionKey(record.submissionId);
		const value = JSON.stringify(record);
		const outcome = await table.runTransaction({
			conditions: [
				{key: versions.headKey, revision: head.revision},
				{key: submissionKey, revision: 0},
			],
			writes: [
				{key: versions.headKey, value: JSON.stringify({version: record.version, digest: record.digest})},
				{key: versions.buildVersionKey(record.version), value},
				{key: submissionKey, value},
			],
		});
		return outcome === 'committed';
	}
}

/**
 * Builds the refusal of a submission that ended without a version.
 *
 * If a response was lost, the transaction may have taken effect or may still do
 * so; only the row of the submission shows it. A later failure then leaves the
 * outcome unknown, and must not be reported as if nothing had been changed.
 */
function buildRefusal(error: unknown, unknownOutcome: OutcomeUnknownError | undefined): SubmissionRefusal {
	return unknownOutcome === undefined
		? {kind: 'unavailable', reason: describeError(error)}
		: {kind: 'outcome-unknown', reason: `${unknownOutcome.message}; submit again with the same submission id`};
}
