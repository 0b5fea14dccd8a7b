/** The network between two data centres: passes bytes on late, and can forget connections. */
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';

/** What a relay does. */
export type DelayRelayOptions = {
	/** Address that it listens on. */
	readonly listenHost: string;

	/** Address that it passes on to, at the same ports. */
	readonly targetHost: string;
	readonly ports: readonly number[];

	/** One-way delay in milliseconds. */
	readonly delay: number;
};

/** Relays TCP connections with a delay. */
export class DelayRelay {
	readonly #options: DelayRelayOptions;
	readonly #servers: Server[] = [];
	readonly #pairs = new Set<RelayedPair>();

	constructor(options: DelayRelayOptions) {
		this.#options = options;
	}

	/** Count of open connections. */
	get connectionCount(): number {
		return this.#pairs.size;
	}

	/** Starts to listen on all ports. */
	async start(): Promise<void> {
		const {ports, listenHost, targetHost, delay} = this.#options;
		await Promise.all(ports.map(async port => {
			const server = createServer({noDelay: true}, socket => {
				const pair = new RelayedPair(socket, connect({host: targetHost, port, noDelay: true}), delay);
				this.#pairs.add(pair);
				pair.setEndHandler(() => {
					this.#pairs.delete(pair);
				});
			});
			this.#servers.push(server);
			await new Promise<void>(resolve => {
				server.listen(port, listenHost, resolve);
			});
		}));
	}

	/** Forgets the open connections: both ends see nothing, and nothing passes; new ones work. */
	forgetOpenConnections(): void {
		for (const pair of this.#pairs) {
			pair.isForgotten = true;
		}
	}

	/** Stops listening and closes all connections. */
	stop(): void {
		for (const server of this.#servers) {
			server.close();
		}

		for (const pair of this.#pairs) {
			pair.destroy();
		}
	}
}

/** The two halves of a relayed connection. */
class RelayedPair {
	isForgotten = false;
	readonly #near: Socket;
	readonly #far: Socket;
	readonly #delay: number;
	#handleEnd: (() => void) | undefined;

	constructor(near: Socket, far: Socket, delay: number) {
		this.#near = near;
		this.#far = far;
		this.#delay = delay;
		this.#passOn(near, far);
		this.#passOn(far, near);
	}

	setEndHandler(handle: () => void): void {
		this.#handleEnd = handle;
	}

	destroy(): void {
		this.#near.destroy();
		this.#far.destroy();
		this.#handleEnd?.();
	}

	#passOn(from: Socket, to: Socket): void {
		from.on('data', chunk => {
			this.#runLater(() => {
				to.write(chunk);
			});
		});
		from.on('end', () => {
			this.#runLater(() => {
				to.end();
			});
		});
		from.on('error', () => {
			this.#runLater(() => {
				to.destroy();
			});
		});
		from.on('close', () => {
			this.#runLater(() => {
				to.destroy();
				this.#handleEnd?.();
			});
		});
	}

	#runLater(act: () => void): void {
		setTimeout(() => {
			if (!this.isForgotten) {
				act();
			}
		}, this.#delay);
	}
}
