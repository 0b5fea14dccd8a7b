/**
 * The types that nodes share about each other, and the interface to a peer.
 */
import {
	type BeatReply, type BeatRequest, type CensusReply, type CensusRequest, type FetchReply, type FetchRequest,
	type Member, type ProbeReply, type ProbeRequest, type PushReply, type PushRequest, type SyncReply, type SyncRequest,
} from './generated/peers.js';

/** Where a node answers its peers. */
export type PeerAddress = {
	readonly host: string;
	readonly peerPort: number;
};

/** Sends requests to other nodes. Tests put a fake in its place. */
export type PeerTransport = {
	/** @throws StepError when there is no answer within the timeout in milliseconds. */
	push(address: PeerAddress, request: PushRequest, timeout: number): Promise<PushReply>;

	/** @throws StepError when there is no answer within the timeout in milliseconds. */
	beat(address: PeerAddress, request: BeatRequest, timeout: number): Promise<BeatReply>;

	/** @throws StepError when there is no answer within the timeout in milliseconds. */
	fetch(address: PeerAddress, request: FetchRequest, timeout: number): Promise<FetchReply>;

	/** @throws StepError when there is no answer within the timeout in milliseconds. */
	sync(address: PeerAddress, request: SyncRequest, timeout: number): Promise<SyncReply>;

	/** @throws StepError when there is no answer within the timeout in milliseconds. */
	probe(address: PeerAddress, request: ProbeRequest, timeout: number): Promise<ProbeReply>;

	/** @throws StepError when there is no answer within the timeout in milliseconds. */
	census(address: PeerAddress, request: CensusRequest, timeout: number): Promise<CensusReply>;
};

/** Answers the requests of other nodes. */
export type PeerHandlers = {
	push(request: PushRequest): Promise<PushReply>;
	beat(request: BeatRequest): Promise<BeatReply>;
	fetch(request: FetchRequest): Promise<FetchReply>;
	sync(request: SyncRequest): Promise<SyncReply>;
	probe(request: ProbeRequest): Promise<ProbeReply>;
	census(request: CensusRequest): Promise<CensusReply>;
};

/** Returns the address at which a member answers its peers. */
export function getAddress(member: Member): PeerAddress {
	return {host: member.host, peerPort: member.peerPort};
}

/** Returns an address as text. */
export function formatAddress(address: PeerAddress): string {
	return `${address.host}:${address.peerPort}`;
}
