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

/** Sends requests to other nodes; tests use a fake. */
export type PeerTransport = {
	/** @throws StepError when there is no reply within the timeout in milliseconds. */
	push(address: PeerAddress, request: PushRequest, timeout: number): Promise<PushReply>;

	/** @throws StepError when there is no reply within the timeout in milliseconds. */
	beat(address: PeerAddress, request: BeatRequest, timeout: number): Promise<BeatReply>;

	/** @throws StepError when there is no reply within the timeout in milliseconds. */
	fetch(address: PeerAddress, request: FetchRequest, timeout: number): Promise<FetchReply>;

	/** @throws StepError when there is no reply within the timeout in milliseconds. */
	sync(address: PeerAddress, request: SyncRequest, timeout: number): Promise<SyncReply>;

	/** @throws StepError when there is no reply within the timeout in milliseconds. */
	probe(address: PeerAddress, request: ProbeRequest, timeout: number): Promise<ProbeReply>;

	/** @throws StepError when there is no reply within the timeout in milliseconds. */
	census(address: PeerAddress, request: CensusRequest, timeout: number): Promise<CensusReply>;
};

/** Handles the requests of other nodes. */
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
