/** Reads the requests that have arrived at a process that is about to close its connections. */

/** Turns of the event loop before the connections are closed: one to accept connections, one to read their requests, and one to refuse these. */
const finalReadTurns = 3;

/** Reads what has arrived while this process got no processor time, so that it is refused and not cut. */
export async function readArrivedRequests(): Promise<void> {
	for (let turn = 0; turn < finalReadTurns; turn++) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}
