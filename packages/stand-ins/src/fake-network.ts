/** Links between nodes in one process, with faults on demand. */
import {type Buffer} from 'node:buffer';
import {type Clock} from '@ebonylead/base/base.js';
import {StepError} from '@ebonylead/base/errors.js';
import {PeerService} from '@ebonylead/peers/generated/peers.js';
import {
	formatAddress, type PeerAddress, type PeerHandlers, type PeerTransport,
} from '@ebonylead/peers/peers.js';

/** Decides what happens to a message; tests replace it to cause faults. */
export type LinkRule = (from: string, to: string) => 'pass' | 'refuse' | 'silence';

type Codec = {
	readonly requestSerialize: (value: unknown) => Buffer;
	readonly requestDeserialize: (bytes: Buffer) => unknown;
	readonly responseSerialize: (value: unknown) => Buffer;
	readonly responseDeserialize: (bytes: Buffer) => unknown;
};

/** Counts of messages by kind. */
export type MessageCounts = Record<keyof PeerTransport, number>;

const passAll: LinkRule = () => 'pass';

/** Carries the requests of nodes to each other's handlers. */
export class FakeNetwork {
	/** Decides about each request by the addresses of its two ends. */
	rule: LinkRule = passAll;
	readonly counts: MessageCounts = {
		push: 0, beat: 0, fetch: 0, sync: 0, probe: 0, census: 0,
	};

	readonly #nodes = new Map<string, PeerHandlers>();
	readonly #clock: Clock;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Puts a node at an address. */
	addNode(address: PeerAddress, handlers: PeerHandlers): void {
		this.#nodes.set(formatAddress(address), handlers);
	}

	/** Takes the node at an address away, as when its process is killed. */
	removeNode(address: PeerAddress): void {
		this.#nodes.delete(formatAddress(address));
	}

	/** Returns the transport of the node at an address. */
	createTransport(from: PeerAddress): PeerTransport {
		const buildMethod = <Name extends keyof PeerTransport>(name: Name) => (async (to: PeerAddress, request: never, timeout: number) =>
			this.#sendRequest(name, formatAddress(from), formatAddress(to), request, timeout)) as unknown as PeerTransport[Name];
		return {
			push: buildMethod('push'), beat: buildMethod('beat'), fetch: buildMethod('fetch'), sync: buildMethod('sync'), probe: buildMethod('probe'), census: buildMethod('census'),
		};
	}

	async #sendRequest<Name extends keyof PeerTransport>(name: Name, from: string, to: string, request: never, timeout: number): Promise<unknown> {
		this.counts[name]++;
		const handlers = this.#nodes.get(to);
		const action = handlers === undefined ? 'refuse' : this.rule(from, to);
		if (action === 'refuse') {
			throw new StepError(name, `node ${to}`, 'connection refused');
		}

		if (action === 'silence') {
			await this.#clock.sleep(timeout);
			throw new StepError(name, `node ${to}`, 'deadline exceeded');
		}

		// Requests and replies go through their encoding, as they would on a link.
		const {requestSerialize, requestDeserialize, responseSerialize, responseDeserialize} = PeerService[name] as unknown as Codec;
		const reply = await handlers![name](requestDeserialize(requestSerialize(request)) as never);
		return responseDeserialize(responseSerialize(reply));
	}
}
