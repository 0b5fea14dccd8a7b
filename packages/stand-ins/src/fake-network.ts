/** In-memory transport between nodes in one process, with faults on demand. */
import {type Buffer} from 'node:buffer';
import {type Clock} from '@ebonylead/base/base.js';
import {StepError} from '@ebonylead/base/errors.js';
import {PeerService} from '@ebonylead/peers/generated/peers.js';
import {
	formatAddress, type PeerAddress, type PeerHandlers, type PeerTransport,
} from '@ebonylead/peers/peers.js';

/** Decides whether a request passes, is refused, or gets no reply until its timeout; tests set it to inject faults. */
export type LinkRule = (from: string, to: string) => 'pass' | 'refuse' | 'silence';

type Codec = {
	readonly requestSerialize: (value: unknown) => Buffer;
	readonly requestDeserialize: (bytes: Buffer) => unknown;
	readonly responseSerialize: (value: unknown) => Buffer;
	readonly responseDeserialize: (bytes: Buffer) => unknown;
};

/** Counts of requests by method. */
export type RequestCounts = Record<keyof PeerTransport, number>;

const passAll: LinkRule = () => 'pass';

/** Forwards the requests of nodes to the handlers of other nodes. */
export class FakeNetwork {
	/** Called for each request, with the addresses of its sender and its receiver. */
	linkRule: LinkRule = passAll;
	readonly counts: RequestCounts = {
		push: 0, beat: 0, fetch: 0, sync: 0, probe: 0, census: 0,
	};

	readonly #nodes = new Map<string, PeerHandlers>();
	readonly #clock: Clock;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Adds the node at an address. */
	addNode(address: PeerAddress, handlers: PeerHandlers): void {
		this.#nodes.set(formatAddress(address), handlers);
	}

	/** Removes the node at an address, as when its process is killed. */
	removeNode(address: PeerAddress): void {
		this.#nodes.delete(formatAddress(address));
	}

	/** Creates the transport of the node at an address. */
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
		const action = handlers === undefined ? 'refuse' : this.linkRule(from, to);
		if (action === 'refuse') {
			throw new StepError(name, `node ${to}`, 'connection refused');
		}

		if (action === 'silence') {
			await this.#clock.sleep(timeout);
			throw new StepError(name, `node ${to}`, 'deadline exceeded');
		}

		// Requests and replies are encoded and decoded, as on a real connection.
		const {requestSerialize, requestDeserialize, responseSerialize, responseDeserialize} = PeerService[name] as unknown as Codec;
		const reply = await handlers![name](requestDeserialize(requestSerialize(request)) as never);
		return responseDeserialize(responseSerialize(reply));
	}
}
