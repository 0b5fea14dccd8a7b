/** Converts snapshots and deltas to and from the messages between peers. */
import {Buffer} from 'node:buffer';
import {decodeSnapshot} from '@ebonylead/rules/snapshot-codec.js';
import {type EncodedSnapshot, type Rule} from '@ebonylead/rules/rules.js';
import {type SnapshotDelta} from '@ebonylead/rules/snapshot-delta.js';
import {type Either} from 'purify-ts';
import {VersionDelta, type FullSnapshot, type Rule as RuleMessage} from './generated/peers.js';

/** Encodes a delta once for all its receivers. */
export function encodeDelta(delta: SnapshotDelta): Uint8Array {
	return VersionDelta.encode(buildDeltaMessage(delta)).finish();
}

/**
 * Decodes a delta.
 *
 * @throws Error when the bytes are not a delta.
 */
export function decodeDelta(bytes: Uint8Array): SnapshotDelta {
	return readDeltaMessage(VersionDelta.decode(bytes));
}

/** Builds the message of a delta. */
export function buildDeltaMessage(delta: SnapshotDelta): VersionDelta {
	return {
		fromVersion: delta.fromVersion,
		toVersion: delta.toVersion,
		toDigest: Buffer.from(delta.toDigest, 'hex'),
		removed: [...delta.removed],
		changed: delta.changed.map(rule => buildRuleMessage(rule)),
		organisations: delta.organisations && {
			removed: [...delta.organisations.removed],
			changed: delta.organisations.changed.map(organisation => ({...organisation, keys: [...organisation.keys]})),
		},
	};
}

/** Reads the message of a delta. */
export function readDeltaMessage(message: VersionDelta): SnapshotDelta {
	return {
		fromVersion: message.fromVersion,
		toVersion: message.toVersion,
		toDigest: message.toDigest.toString('hex'),
		removed: message.removed,
		changed: message.changed.map(rule => readRuleMessage(rule)),
		...(message.organisations === undefined ? {} : {organisations: message.organisations}),
	};
}

/** Builds the message of a full snapshot; the bytes are those of the object store. */
export function buildSnapshotMessage(encoded: EncodedSnapshot): FullSnapshot {
	return {
		version: encoded.snapshot.version,
		digest: Buffer.from(encoded.digest, 'hex'),
		content: Buffer.from(encoded.bytes),
	};
}

/** Reads and validates the message of a full snapshot. */
export function readSnapshotMessage(message: FullSnapshot): Either<string, EncodedSnapshot> {
	return decodeSnapshot(message.content, message.digest.toString('hex'));
}

function buildRuleMessage(rule: Rule): RuleMessage {
	return {
		...rule,
		methods: [...rule.methods],
		headers: rule.headers.map(header => ({...header})),
		split: rule.split.map(share => ({...share})),
		slots: rule.slots ?? 0,
		isPublic: rule.isPublic ?? false,
	};
}

function readRuleMessage(message: RuleMessage): Rule {
	const {slots, isPublic, ...rest} = message;
	return {...rest, ...(slots === 0 ? {} : {slots}), ...(isPublic ? {isPublic} : {})};
}
