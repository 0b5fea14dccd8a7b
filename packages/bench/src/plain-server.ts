/** An HTTP server that responds immediately, the upstream in measurements of proxy overhead. Announces itself to a node if it gets a URL. */
import {createServer} from 'node:http';
import process from 'node:process';

const [port, announceUrl] = process.argv.slice(2);
const body = JSON.stringify({answer: 'x'.repeat(200)});
const slots = 9;
const connections = 130;
const announceIntervalMs = 1000;
const server = createServer((request, response) => {
	request.resume();
	response.writeHead(200, {'content-type': 'application/json', 'content-length': body.length}).end(body);
});
server.listen(Number(port), '127.0.0.1');

async function announce(): Promise<void> {
	try {
		await fetch(announceUrl!, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({
				service: 's', url: `http://127.0.0.1:${port}`, slots, connections, state: 'ready',
			}),
		});
	} catch {
		// The node may not listen yet.
	}
}

if (announceUrl !== undefined) {
	void announce();
	setInterval(() => {
		void announce();
	}, announceIntervalMs);
}
