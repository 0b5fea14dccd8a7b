/** Reads accepted versions from the rows and objects of the platform. */
import {StepError} from '@ebonylead/base/errors.js';
import {type EncodedSnapshot} from '@ebonylead/rules/rules.js';
import {decodeSnapshot, emptySnapshot} from '@ebonylead/rules/snapshot-codec.js';
import {type ObjectStore, type Row, type TableService} from './store.js';

/** The newest accepted version. */
export type Head = {
	readonly version: number;
	readonly digest: string;

	/** Revision of the row; 0 before the first version. */
	readonly revision: number;
};

/** Stored record of one accepted version. */
export type VersionRecord = {
	readonly version: number;
	readonly digest: string;
	readonly submissionId: string;

	/** Who submitted it. */
	readonly submitter: string;

	/** Time of acceptance in milliseconds since the Unix epoch. */
	readonly acceptedAt: number;

	/** Keys of the rules that the submission changed. */
	readonly changed: readonly string[];

	/** Keys of the rules that other submissions had changed since the base version of this one. */
	readonly merged: readonly string[];
};

/** Key of the head row, without the prefix of the deployment. */
const headKey = 'head';

/** Reads accepted versions from the platform, and builds the keys of their rows. */
export class VersionStore {
	readonly #table: TableService;
	readonly #objects: ObjectStore;
	readonly #prefix: string;

	constructor(deployment: string, table: TableService, objects: ObjectStore) {
		this.#prefix = `${deployment}/`;
		this.#table = table;
		this.#objects = objects;
	}

	/** The key of the head row. */
	get headKey(): string {
		return this.#prefix + headKey;
	}

	/** Returns the key of a version's row. */
	buildVersionKey(version: number): string {
		return `${this.#prefix}versions/${String(version).padStart(12, '0')}`;
	}

	/** Returns the key of a submission's row. */
	buildSubmissionKey(submissionId: string): string {
		return `${this.#prefix}submissions/${submissionId}`;
	}

	/** Reads the newest accepted version. */
	async readHead(): Promise<Head> {
		const row = await this.#table.readRow(this.headKey);
		if (row === undefined) {
			return {version: 0, digest: emptySnapshot.digest, revision: 0};
		}

		const {version, digest} = JSON.parse(row.value) as {version: number; digest: string};
		return {version, digest, revision: row.revision};
	}

	/** Reads the record of a version; undefined if it does not exist. */
	async readVersion(version: number): Promise<VersionRecord | undefined> {
		return parseVersionRecord(await this.#table.readRow(this.buildVersionKey(version)));
	}

	/** Reads the record of the version that a submission created; undefined if it was not accepted. */
	async readSubmission(submissionId: string): Promise<VersionRecord | undefined> {
		return parseVersionRecord(await this.#table.readRow(this.buildSubmissionKey(submissionId)));
	}

	/**
	 * Reads a snapshot and verifies its digest.
	 *
	 * @throws StepError when the object is missing or damaged.
	 */
	async readSnapshot(digest: string): Promise<EncodedSnapshot> {
		if (digest === emptySnapshot.digest) {
			return emptySnapshot;
		}

		const bytes = await this.#objects.readObject(digest);
		if (bytes === undefined) {
			throw new StepError('read snapshot', 'object store', `object "${digest}" does not exist`);
		}

		return decodeSnapshot(bytes, digest).caseOf({
			Left(reason) {
				throw new StepError('read snapshot', 'object store', reason);
			},
			Right: snapshot => snapshot,
		});
	}
}

function parseVersionRecord(row: Row | undefined): VersionRecord | undefined {
	return row && JSON.parse(row.value) as VersionRecord;
}
