/** Entry point of the stand-in processes: `stand-ins platform PORT`, `stand-ins upstream JSON` or `stand-ins relay JSON`. */
import process from 'node:process';
import {DelayRelay, type DelayRelayOptions} from './delay-relay.js';
import {startPlatformServer} from './platform-server.js';
import {UpstreamStandIn, type UpstreamStandInOptions} from './upstream-stand-in.js';

const [kind, argument] = process.argv.slice(2);

async function startStandIn(): Promise<void> {
	if (kind === 'platform') {
		await startPlatformServer(Number(argument));
		return;
	}

	if (kind === 'relay') {
		await new DelayRelay(JSON.parse(argument ?? '{}') as DelayRelayOptions).start();
		return;
	}

	if (kind !== 'upstream') {
		process.stderr.write('Usage: stand-ins platform PORT | stand-ins upstream JSON | stand-ins relay JSON\n');
		process.exitCode = 2;
		return;
	}

	const upstream = new UpstreamStandIn(JSON.parse(argument ?? '{}') as UpstreamStandInOptions);
	await upstream.start();
	process.on('SIGTERM', () => {
		void upstream.drainAndStop();
	});
}

void startStandIn();
