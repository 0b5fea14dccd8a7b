/** Tells whether a process listens at an address. */
import {connect} from 'node:net';

const probeTimeoutMs = 200;

/** Returns whether a connection to an origin such as `http://10.0.0.1:80` is refused. A timeout or any other error shows nothing, and counts as no refusal. */
export async function isConnectionRefused(origin: string): Promise<boolean> {
	const {hostname, port} = new URL(origin);
	return new Promise(resolve => {
		const socket = connect({host: hostname, port: Number(port), timeout: probeTimeoutMs});
		const finish = (isRefused: boolean) => {
			socket.destroy();
			resolve(isRefused);
		};

		socket.on('connect', () => {
			finish(false);
		});
		socket.on('timeout', () => {
			finish(false);
		});
		socket.on('error', error => {
			finish((error as NodeJS.ErrnoException).code === 'ECONNREFUSED');
		});
	});
}
