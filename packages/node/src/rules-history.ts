/** Recent accepted versions of this node, and their encoded forms for the nodes that follow it. */
import {
	applyDifference, computeChecksum, computeDifference, type RulesDifference,
} from '@ebonylead/rules/rules-difference.js';
import {type AcceptedRules} from '@ebonylead/rules/rule-source.js';
import {decodeCompressed, encodeCompressed} from './compressed-json.js';

/** An encoded version, as it is sent to another node. */
export type RulesUpdate = {
	readonly version: number;

	/** An `UpdateContent` in JSON, compressed and in base64. */
	readonly gzip: string;
};

/** A difference from a version that the receiver keeps, or all rules. */
type UpdateContent
	= | {readonly kind: 'difference'; readonly difference: RulesDifference}
		| {readonly kind: 'whole'; readonly checksum: number; readonly rules: AcceptedRules};

/** Number of versions that are kept; at two versions a second, those of the last 16 s. They share the rules that did not change. */
const maxKeptVersions = 32;

/** Keeps the recent versions, the last of them the current one. */
export class RulesHistory {
	#versions: AcceptedRules[] = [];

	/** Encoded updates to the current version, by the version from which they start; each is shared by all followers. */
	readonly #updates = new Map<number, string>();

	/** The newest version; undefined before the first one. */
	get current(): AcceptedRules | undefined {
		return this.#versions.at(-1);
	}

	/** Number of the newest version, or 0. */
	get version(): number {
		return this.current?.snapshot.version ?? 0;
	}

	/** Lists the numbers of the versions that are kept. */
	listVersions(): number[] {
		return this.#versions.map(rules => rules.snapshot.version);
	}

	/** Adds a version that is later than all before. */
	add(rules: AcceptedRules): void {
		this.#versions = [...this.#versions.slice(1 - maxKeptVersions), rules];
		this.#updates.clear();
	}

	/** Adds a version that is earlier than the current one, as a start of further updates. */
	addEarlier(rules: AcceptedRules): void {
		const {version} = rules.snapshot;
		const earlier = this.#versions.filter(kept => kept.snapshot.version < version);
		const later = this.#versions.filter(kept => kept.snapshot.version > version);
		this.#versions = [...earlier, rules, ...later].slice(-maxKeptVersions);
	}

	/**
	 * Encodes the update to the current version for another node.
	 *
	 * @param versions Versions that the other node keeps. As nodes skip different versions, the update starts from the latest one that both keep.
	 * @returns The update in JSON; undefined if the other node has the current version or a later one.
	 */
	encodeUpdate(versions: readonly number[]): string | undefined {
		if (this.current === undefined || versions.some(version => version >= this.version)) {
			return undefined;
		}

		const from = this.#versions.findLast(rules => versions.includes(rules.snapshot.version));
		const key = from?.snapshot.version ?? 0;
		let update = this.#updates.get(key);
		if (update === undefined) {
			update = JSON.stringify(buildUpdate(from, this.current));
			this.#updates.set(key, update);
		}

		return update;
	}

	/**
	 * Decodes an update that another node sent.
	 *
	 * @throws Error if the update does not lead to the version that the other node has.
	 */
	decodeUpdate({gzip}: RulesUpdate): AcceptedRules {
		const content = decodeCompressed(gzip) as UpdateContent;
		if (content.kind === 'whole') {
			return validateWhole(content);
		}

		const {difference} = content;
		const from = this.#versions.find(rules => rules.snapshot.version === difference.fromVersion);
		if (from === undefined) {
			throw new Error(`the difference starts from version ${difference.fromVersion}, which is not kept`);
		}

		return applyDifference(from, difference).mapLeft(reason => new Error(reason)).unsafeCoerce();
	}
}

function buildUpdate(from: AcceptedRules | undefined, to: AcceptedRules): RulesUpdate {
	const gzip = encodeCompressed(buildContent(from, to));
	return {version: to.snapshot.version, gzip};
}

function buildContent(from: AcceptedRules | undefined, to: AcceptedRules): UpdateContent {
	const difference = from && computeDifference(from, to);
	return difference === undefined
		? {kind: 'whole', checksum: computeChecksum(to), rules: to}
		: {kind: 'difference', difference};
}

function validateWhole({rules, checksum}: {readonly rules: AcceptedRules; readonly checksum: number}): AcceptedRules {
	if (computeChecksum(rules) !== checksum) {
		throw new Error(`the rules of version ${rules.snapshot.version} have another checksum`);
	}

	return rules;
}
