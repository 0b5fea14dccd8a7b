/** Simulates many members with one gRPC server: each member has a loopback address of its own, and the server replies for all. */
import {
	Server, ServerCredentials, status, type ServerUnaryCall, type sendUnaryData,
} from '@grpc/grpc-js';
import {
	MemberState, PeerService, UpstreamState, type BeatReply, type BeatRequest, type CensusReply, type Member, type PushReply, type SyncReply,
} from '@ebonylead/peers/generated/peers.js';
import {formatAddress, type PeerAddress} from '@ebonylead/peers/peers.js';

/** Number of fake members, numbers of data centres and services that they are spread over, and the port that all of them share. */
export type FakeMembersOptions = {
	readonly count: number;
	readonly dataCentres: number;
	readonly services: number;
	readonly port: number;
};

const membersPerSubnet = 250;
const slots = 9;

/** A gRPC server that replies on behalf of simulated members. */
export class FakeMembers {
	readonly members: readonly Member[];

	/** Version that the fake members report. */
	version = 0;

	/** Count of received requests. */
	requests = 0;
	readonly #options: FakeMembersOptions;
	readonly #server = new Server();
	readonly #idsByAddress = new Map<string, string>();

	constructor(options: FakeMembersOptions) {
		this.#options = options;
		this.members = Array.from({length: options.count}, (_, index) => buildMember(index, options));
		for (const member of this.members) {
			this.#idsByAddress.set(formatAddress(member), member.id);
		}
	}

	/** Address of the first member. */
	get firstAddress(): PeerAddress {
		return this.members[0]!;
	}

	/** Listens on all addresses, so that requests to the loopback address of each member arrive. */
	async start(): Promise<void> {
		this.#server.addService(PeerService, {
			beat: this.#createHandler<BeatRequest, BeatReply>(call => ({
				id: this.#idsByAddress.get(call.getHost()) ?? '',
				version: this.version,
				membershipHash: call.request.membershipHash,
				recordOfSender: undefined,
				senderVersion: 0,
				isReady: true,
			})),
			sync: this.#createHandler<unknown, SyncReply>(() => ({differingBuckets: [], members: [...this.members]})),
			push: this.#createHandler<unknown, PushReply>(() => ({reached: 1, unreached: [], unreachedCount: 0})),
			census: this.#createHandler<unknown, CensusReply>(() => ({
				counts: [], laggards: [], unreached: [], controlBytes: 0, quarantined: [], calls: [],
			})),
			fetch(_call: unknown, callback: sendUnaryData<never>) {
				callback({code: status.UNIMPLEMENTED});
			},
			probe(_call: unknown, callback: sendUnaryData<never>) {
				callback({code: status.UNIMPLEMENTED});
			},
		});
		await new Promise<void>((resolve, reject) => {
			this.#server.bindAsync(`0.0.0.0:${this.#options.port}`, ServerCredentials.createInsecure(), error => {
				if (error) {
					reject(error);
				} else {
					resolve();
				}
			});
		});
	}

	/** Stops the server and closes its connections. */
	stop(): void {
		this.#server.forceShutdown();
	}

	#createHandler<Request, Reply>(build: (call: ServerUnaryCall<Request, Reply>) => Reply) {
		return (call: ServerUnaryCall<Request, Reply>, callback: sendUnaryData<Reply>) => {
			this.requests++;
			callback(null, build(call));
		};
	}
}

function buildMember(index: number, options: FakeMembersOptions): Member {
	return {
		id: `member-${index}.vm.example`,
		incarnation: 1_700_000_000_000,
		dataCentre: `dc-${index % options.dataCentres}`,
		region: `region-${index % 7}`,
		host: `127.2.${Math.floor(index / membersPerSubnet)}.${(index % membersPerSubnet) + 1}`,
		peerPort: options.port,
		meshPort: options.port,
		state: MemberState.ALIVE,
		service: `service-${index % options.services}`,
		upstreamState: UpstreamState.READY,
		slots,
		instance: index,
	};
}
