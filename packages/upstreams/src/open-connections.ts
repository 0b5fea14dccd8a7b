/** The open connections of a server. */
import {type Server} from 'node:http';
import {type Socket} from 'node:net';

/** Tracks the connections of a server, so that a stopping node closes none before its last response is sent. */
export class OpenConnections {
	readonly #sockets = new Set<Socket>();

	constructor(server: Server) {
		server.on('connection', (socket: Socket) => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
		});
	}

	/** Whether bytes of responses wait in this process; the operating system sends those that it was given, also after the end of the process. */
	get hasUnsentBytes(): boolean {
		for (const socket of this.#sockets) {
			if (socket.writableLength > 0) {
				return true;
			}
		}

		return false;
	}
}
