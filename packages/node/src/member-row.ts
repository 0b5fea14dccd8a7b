/** Encoding of a member record as a row of a shared table. */
import {isIP} from 'node:net';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {type SharedRow} from '@ebonylead/store/row-store.js';
import {type AnnouncementStamp} from '@ebonylead/upstreams/announcement-order.js';
import {type UpstreamAnnouncement} from '@ebonylead/upstreams/upstreams.js';

/** The local upstream of a node as stored in its row, from which a later process of the node restores it. */
export type RecordedUpstream = {
	readonly announcement: UpstreamAnnouncement;
	readonly stamp: AnnouncementStamp;

	/** Whether the upstream process leaves or has left, so that no later process of the node may use it. */
	readonly hasLeft?: boolean;
};

/** Content of a row. The row's key is the member's id; its era and revision are the incarnation. */
export type MemberRow = Omit<Member, 'id' | 'incarnation'> & {
	readonly upstream?: RecordedUpstream;

	/** Era of the store that its writer knew; 0 if absent. A row of a restored copy keeps the era in which it was written. */
	readonly era?: number;
};

const hostName = /^[a-z0-9](?:[a-z0-9.\-]*[a-z0-9])?$/iv;
const maxPort = 65_535;
const knownStates: ReadonlySet<unknown> = new Set([MemberState.ALIVE, MemberState.DEAD, MemberState.LEFT]);
const knownUpstreamStates: ReadonlySet<unknown> = new Set([UpstreamState.ABSENT, UpstreamState.READY, UpstreamState.DRAINING]);

/** Exclusive upper bound of the revisions of an era. At 1,200 writes per second, a store reaches it after 29 years. */
const revisionLimit = 2 ** 40;

/** Exclusive upper bound of the eras that are told apart, so that incarnations remain safe integers. */
const eraLimit = 2 ** 13;

/**
 * Builds an incarnation that orders by era, then by revision.
 *
 * It is one number, as incarnations are compared by many components and sent
 * between nodes, which need not know about eras.
 */
export function buildIncarnation(era: number, revision: number): number {
	return ((era % eraLimit) * revisionLimit) + revision;
}

/** Encodes a member record as the content of its row, written in an era of the store. */
export function encodeMember(member: Member, upstream?: RecordedUpstream, era = 0): string {
	const {id: _id, incarnation: _incarnation, ...row} = member;
	return JSON.stringify({...row, upstream, era: era === 0 ? undefined : era});
}

/** Decodes a row, which was read in an era of the store, to a member record. A removed row becomes the known record in state left. Returns undefined if the row is unreadable, or removed and unknown. */
export function decodeMember(row: SharedRow, era: number, known: Member | undefined): Member | undefined {
	if (row.value === undefined) {
		return known && {...known, incarnation: buildIncarnation(era, row.revision), state: MemberState.LEFT};
	}

	const value = decodeRow(row.value);
	if (value === undefined) {
		return undefined;
	}

	const {upstream: _upstream, era: _era, ...member} = value;
	return {...member, id: row.key, incarnation: buildIncarnation(getRowEra(value, era), row.revision)};
}

/**
 * Decodes the local upstream that an earlier process of a node recorded in its
 * row. The row may come from a copy of the store that lacks the leave of that
 * upstream; undefined if so, as the upstream must not get calls after its leave.
 */
export function decodeRecordedUpstream(text: string, era: number): RecordedUpstream | undefined {
	const value = decodeRow(text);
	const mayLackLeave = value?.upstreamState === UpstreamState.READY && getRowEra(value, era) < era;
	return mayLackLeave ? undefined : value?.upstream;
}

/** Returns whether the fields of a record have the types and ranges by which other nodes use it; another writer may have written it. */
export function isMember(value: Partial<Omit<Member, 'id'>> | null): boolean {
	return value !== null
		&& typeof value.host === 'string' && (isIP(value.host) !== 0 || hostName.test(value.host))
		&& typeof value.service === 'string' && isTextOrAbsent(value.dataCentre) && isTextOrAbsent(value.region) && isTextOrAbsent(value.upstreamVersion)
		&& isPort(value.meshPort)
		&& Number.isSafeInteger(value.slots) && value.slots! >= 0
		&& knownStates.has(value.state) && knownUpstreamStates.has(value.upstreamState);
}

function isTextOrAbsent(value: unknown): boolean {
	return value === undefined || typeof value === 'string';
}

function isPort(value: unknown): boolean {
	return Number.isSafeInteger(value) && (value as number) >= 1 && (value as number) <= maxPort;
}

function decodeRow(text: string): MemberRow | undefined {
	try {
		const value = JSON.parse(text) as MemberRow;
		return isMember(value) && Number.isSafeInteger(value.era ?? 0) ? value : undefined;
	} catch {
		return undefined;
	}
}

/** Returns the era in which a row was written; the store was in no later one when the row was read. */
function getRowEra(row: MemberRow, era: number): number {
	return Math.min(row.era ?? 0, era);
}
