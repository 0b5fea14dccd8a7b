/**
 * A minimal proxy on `node:http` and `undici` without routing or admission, the
 * baseline for the request path. Two of them in a chain form the two hops of a call.
 */
import {createServer} from 'node:http';
import process from 'node:process';
import {Pool} from 'undici';

const [port, target] = process.argv.slice(2);
const pool = new Pool(target!, {connections: 130, pipelining: 1});
const server = createServer((request, response) => {
	void forward();

	async function forward(): Promise<void> {
		try {
			const upstreamResponse = await pool.request({
				method: request.method as 'GET', path: request.url!, headers: {host: request.headers.host}, body: request.method === 'GET' ? null : request,
			});
			response.writeHead(upstreamResponse.statusCode, {'content-type': String(upstreamResponse.headers['content-type']), 'content-length': String(upstreamResponse.headers['content-length'])});
			upstreamResponse.body.pipe(response);
		} catch {
			response.destroy();
		}
	}
});
server.listen(Number(port), '127.0.0.1');
