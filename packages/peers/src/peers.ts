/**
 * The address of a peer, and the interfaces to send requests to peers and to handle theirs.
 */
import {
	type BeatReply, type BeatRequest, type CensusReply, type CensusRequest, type FetchReply, type FetchRequest,
	type Member, type ProbeReply, type ProbeRequest, type PushReply, type PushRequest, type SyncReply, type SyncRequest,
} from './generated/peers.js';

/** The address at which a node listens for its peers. */
export type PeerAddress = {
	readonly host: string;
	readonly peerPort: number;
};

/**
 * Sends requests to other nodes; tests use a fake.
 *
 * Each method rejects with a `StepError` if the request fails or no reply arrives
 * within the timeout, which is in milliseconds.
 */
export type PeerTransport = {
	/** Sends an accepted version, membership changes or crashes of upstreams to a member, which forwards them to a key range. */
	push(address: PeerAddress, request: PushRequest, timeout: number): Promise<PushReply>;

	/** Sends a heartbeat, and compares versions and memberships. */
	beat(address: PeerAddress, request: BeatRequest, timeout: number): Promise<BeatReply>;

	/** Fetches the deltas that lead from a version to the member's newest one, or the full snapshot. */
	fetch(address: PeerAddress, request: FetchRequest, timeout: number): Promise<FetchReply>;

	/** Compares the membership by buckets, or sends the members of differing buckets. */
	sync(address: PeerAddress, request: SyncRequest, timeout: number): Promise<SyncReply>;

	/** Asks a member to check whether it can reach a third one. */
	probe(address: PeerAddress, request: ProbeRequest, timeout: number): Promise<ProbeReply>;

	/** Counts the active versions in a key range. */
	census(address: PeerAddress, request: CensusRequest, timeout: number): Promise<CensusReply>;
};

/** Handles the requests that other nodes send with a `PeerTransport`. */
export type PeerHandlers = {
	push(request: PushRequest): Promise<PushReply>;
	beat(request: BeatRequest): Promise<BeatReply>;
	fetch(request: FetchRequest): Promise<FetchReply>;
	sync(request: SyncRequest): Promise<SyncReply>;
	probe(request: ProbeRequest): Promise<ProbeReply>;
	census(request: CensusRequest): Promise<CensusReply>;
};

/** Returns the address at which a member listens for its peers. */
export function getAddress(member: Member): PeerAddress {
	return {host: member.host, peerPort: member.peerPort};
}

/** Formats an address as `host:port`. */
export function formatAddress(address: PeerAddress): string {
	return `${address.host}:${address.peerPort}`;
}
