/** TCP relay that emulates the network between two data centres: it delays data, and can pause it or blackhole connections. */
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';

/** Options of a relay. */
export type DelayRelayOptions = {
	/** Address that it listens on. */
	readonly listenHost: string;

	/** Address that it forwards to, on the same ports. */
	readonly targetHost: string;
	readonly ports: readonly number[];

	/** One-way delay in milliseconds. */
	readonly delay: number;
};

/** Directions in which the data of a connection can be blackholed. */
export const relayDirections = {
	both: 'both',

	/** From the target to the client. */
	toClient: 'to-client',
} as const;

/** One of `relayDirections`. */
export type RelayDirection = typeof relayDirections[keyof typeof relayDirections];

/** Relays TCP connections, and delays their data in both directions. */
export class DelayRelay {
	/** Whether new connections are reset. */
	isRefusing = false;

	/** Delay in milliseconds, besides the usual one, of what clients send from now on. What targets send is not affected. */
	extraDelayToTarget = 0;
	readonly #options: DelayRelayOptions;
	readonly #servers: Server[] = [];
	readonly #connections = new Set<RelayedConnection>();
	#isPaused = false;
	#bytesToTarget = 0;

	constructor(options: DelayRelayOptions) {
		this.#options = options;
	}

	/** Number of open connections. */
	get connectionCount(): number {
		return this.#connections.size;
	}

	/** Starts to listen on all ports. */
	async start(): Promise<void> {
		const {ports, listenHost, targetHost, delay} = this.#options;
		await Promise.all(ports.map(async port => {
			const server = createServer({noDelay: true}, socket => {
				if (this.isRefusing) {
					socket.resetAndDestroy();
					return;
				}

				socket.on('data', chunk => {
					this.#bytesToTarget += chunk.length;
				});
				const connection = new RelayedConnection(socket, connect({host: targetHost, port, noDelay: true}), {
					getDelayToTarget: () => delay + this.extraDelayToTarget,
					getDelayToClient: () => delay,
				});
				this.#connections.add(connection);
				if (this.#isPaused) {
					connection.pause();
				}

				connection.setCloseHandler(() => {
					this.#connections.delete(connection);
				});
			});
			this.#servers.push(server);
			await new Promise<void>(resolve => {
				server.listen(port, listenHost, resolve);
			});
		}));
	}

	/** Number of bytes that clients have sent. */
	get bytesToTarget(): number {
		return this.#bytesToTarget;
	}

	/** Blackholes the open connections: data and closing are no longer forwarded, so both ends stay open; new connections work. */
	blackholeOpenConnections(direction: RelayDirection = relayDirections.both): void {
		for (const connection of this.#connections) {
			connection.blackholed = direction;
		}
	}

	/** Pauses all connections, new ones too: they stay open, and data and closing are held back until `resume`. */
	pause(): void {
		this.#isPaused = true;
		for (const connection of this.#connections) {
			connection.pause();
		}
	}

	/** Forwards what `pause` has held back, in its order. */
	resume(): void {
		this.#isPaused = false;
		for (const connection of this.#connections) {
			connection.resume();
		}
	}

	/** Resets the open connections. */
	resetOpenConnections(): void {
		for (const connection of this.#connections) {
			connection.reset();
		}
	}

	/** Stops listening and closes all connections. */
	stop(): void {
		for (const server of this.#servers) {
			server.close();
		}

		for (const connection of this.#connections) {
			connection.destroy();
		}
	}
}

/** Returns the delays of a connection in milliseconds by direction. */
type RelayDelays = {
	readonly getDelayToTarget: () => number;
	readonly getDelayToClient: () => number;
};

/** A relayed connection: the socket of its client, and the socket to its target. */
class RelayedConnection {
	blackholed: RelayDirection | undefined;
	readonly #clientSocket: Socket;
	readonly #targetSocket: Socket;
	readonly #delays: RelayDelays;
	#handleClose: (() => void) | undefined;
	#heldBack: Array<() => void> | undefined;

	constructor(clientSocket: Socket, targetSocket: Socket, delays: RelayDelays) {
		this.#clientSocket = clientSocket;
		this.#targetSocket = targetSocket;
		this.#delays = delays;
		this.#forward(clientSocket, targetSocket);
		this.#forward(targetSocket, clientSocket);
	}

	setCloseHandler(handle: () => void): void {
		this.#handleClose = handle;
	}

	pause(): void {
		this.#heldBack ??= [];
	}

	resume(): void {
		const heldBack = this.#heldBack ?? [];
		this.#heldBack = undefined;
		for (const callback of heldBack) {
			callback();
		}
	}

	reset(): void {
		this.#clientSocket.resetAndDestroy();
		this.#targetSocket.resetAndDestroy();
	}

	destroy(): void {
		this.#clientSocket.destroy();
		this.#targetSocket.destroy();
		this.#handleClose?.();
	}

	#forward(from: Socket, to: Socket): void {
		from.on('data', chunk => {
			this.#runDelayed(to, () => {
				to.write(chunk);
			});
		});
		from.on('end', () => {
			this.#runDelayed(to, () => {
				to.end();
			});
		});
		from.on('error', () => {
			this.#runDelayed(to, () => {
				to.destroy();
			});
		});
		from.on('close', () => {
			this.#runDelayed(to, () => {
				to.destroy();
				this.#handleClose?.();
			});
		});
	}

	#runDelayed(to: Socket, callback: () => void): void {
		setTimeout(() => {
			if (this.#heldBack) {
				this.#heldBack.push(callback);
			} else if (!this.#isBlackholed(to)) {
				callback();
			}
		}, to === this.#targetSocket ? this.#delays.getDelayToTarget() : this.#delays.getDelayToClient());
	}

	#isBlackholed(to: Socket): boolean {
		return this.blackholed === relayDirections.both || (this.blackholed === relayDirections.toClient && to === this.#clientSocket);
	}
}
