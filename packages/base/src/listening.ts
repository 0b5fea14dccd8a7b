/** Starts servers. */
import {type Server} from 'node:net';
import {StepError, describeError} from './errors.js';

/**
 * Starts a server on a port.
 *
 * @param step The step that the error names, such as `listen for callers`.
 * @throws StepError when the port can't be used.
 */
export async function listenOn(server: Server, host: string, port: number, step: string): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', error => {
			reject(new StepError(step, `${host}:${port}`, describeError(error), {cause: error}));
		});
		server.listen(port, host, resolve);
	});
}
