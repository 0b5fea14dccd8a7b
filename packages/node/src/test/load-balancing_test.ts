import {createLogger} from '@ebonylead/base/logs.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {loadBalancings} from '@ebonylead/capacity/capacity.js';
import {TargetStates} from '@ebonylead/callers/target-states.js';
import {RouteTable} from '@ebonylead/rules/route-table.js';
import {parseRuleFile} from '@ebonylead/rules/rule-file.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {LocalUpstream} from '@ebonylead/upstreams/local-upstream.js';
import {type UpstreamRun} from '@ebonylead/upstreams/run-observer.js';
import {Registry} from 'prom-client';
import {createLoadBalancing} from '../load-balancing.js';
import {type MeshNodeSettings} from '../mesh-node-settings.js';

const {rules} = parseRuleFile('f', 'GET a.example/** -> s # A').unsafeCoerce();
const route = new RouteTable({version: 1, rules}).routes[0]!;
const slots = 12;
const log = createLogger('silent', {});

function createParts(settings: Partial<MeshNodeSettings>) {
	const clock = new FakeClock();
	const localUpstream = new LocalUpstream(clock, log);
	localUpstream.applyAnnouncement({
		service: 's', url: 'http://127.0.0.1:9', slots, connections: slots, state: 'ready',
	});
	const runs: UpstreamRun[] = [];
	const registry = new Registry();
	const parts = createLoadBalancing({settings: settings as MeshNodeSettings, registry, log}, {
		clock,
		localUpstream,
		runObservers: [{
			recordRun(run) {
				runs.push(run);
			},
		}],
	});
	return {
		clock, localUpstream, runs, registry, parts,
	};
}

describe('load balancing of a node', () => {
	it('adds nothing where it is by load, so that such deployments are served as before', async t => {
		for (const settings of [{}, {loadBalancing: loadBalancings.load}]) {
			const {parts, registry} = createParts(settings);
			t.is(parts.createRanking, undefined);
			t.is(parts.sidecar.formatCapacity, undefined);
			t.is(parts.sidecar.runObservers?.length, 1);
			t.is(await registry.metrics(), '\n');
		}
	});

	it('lets the admission use the learnt limit, sends it to entry nodes and shows it to operators', async t => {
		const {clock, localUpstream, runs, registry, parts} = createParts({loadBalancing: loadBalancings.learnt});
		const random = new SeededRandom(1);
		t.is(parts.sidecar.formatCapacity!('r'), `${slots};0.0`);
		for (let count = 0; count < 800; count++) {
			const concurrency = 1 + Math.floor(random.next() * parts.learner!.limit);
			await clock.advance(50);
			for (const observer of parts.sidecar.runObservers!) {
				observer.recordRun({
					route: 'r', outcome: 'success', duration: 100 * Math.max(1, concurrency / 4), concurrency,
				});
			}
		}

		const {limit} = parts.learner!;
		t.true(limit < slots);
		t.is(localUpstream.admission.estimates.slots, limit);
		t.is(runs.length, 800);
		t.regex(parts.sidecar.formatCapacity!('r')!, /^\d+;\d+\.\d$/v);
		const ranking = parts.createRanking!({states: new TargetStates(clock), clock, random});
		ranking.choose({all: [], preferred: []}, {route, elapsed: 0, isNested: false});
		const metrics = await registry.metrics();
		t.true(metrics.includes(`ebonylead_upstream_learnt_limit ${limit}\n`));
		t.true(metrics.includes('ebonylead_choices_total{reason="only"} 1\n'));
	});
});
