/** `npm run choices`: measures the processor time of one choice of an upstream, by the number of upstreams and the way of load balancing. */
import process from 'node:process';
import {SeededRandom} from '@ebonylead/base/random.js';
import {SystemClock} from '@ebonylead/base/base.js';
import {FinishRanking} from '@ebonylead/callers/finish-ranking.js';
import {LoadRanking} from '@ebonylead/callers/load-ranking.js';
import {TargetChooser} from '@ebonylead/callers/target-chooser.js';
import {TargetStates} from '@ebonylead/callers/target-states.js';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {Membership} from '@ebonylead/peers/membership.js';
import {RouteTable} from '@ebonylead/rules/route-table.js';
import {parseRuleFile} from '@ebonylead/rules/rule-file.js';

const slots = 13;
const warmUpCount = 20_000;
const count = 100_000;
const sizes = [9, 30, 53];
const reportInterval = 3;
const {rules} = parseRuleFile('load', 'GET a.example/** -> s # A').unsafeCoerce();
const route = new RouteTable({version: 1, rules: [{...rules[0]!, objective: 100}]}).routes[0]!;

function buildMembers(size: number): Member[] {
	return Array.from({length: size}, (_, index) => ({
		id: `u${index}`, dataCentre: 'abc'[index % 3]!, incarnation: 1, region: 'r', host: 'h', peerPort: 1, meshPort: 1,
		state: MemberState.ALIVE, service: 's', upstreamState: UpstreamState.READY, slots, instance: 1,
	}));
}

/** Measures in microseconds of processor time. */
function measure(run: (index: number) => void): number {
	for (let index = 0; index < warmUpCount; index++) {
		run(index);
	}

	const before = process.cpuUsage();
	for (let index = 0; index < count; index++) {
		run(index);
	}

	const {user, system} = process.cpuUsage(before);
	return (user + system) / count;
}

const clock = new SystemClock();
for (const size of sizes) {
	const members = buildMembers(size);
	const membership = new Membership();
	membership.merge(members, clock.now());
	const preferred = members.filter(member => member.dataCentre === 'a');
	for (const [name, Ranking] of [['load', LoadRanking], ['learnt', FinishRanking]] as const) {
		const random = new SeededRandom(1);
		const ranking = new Ranking({states: new TargetStates(clock), clock, random});
		const chooser = new TargetChooser(membership, 'a', clock, random, undefined, {createRanking: dependencies => new Ranking(dependencies)});
		const full = measure(index => {
			const member = chooser.choose('s', route, new Set())!;
			if (index % reportInterval === 0) {
				chooser.recordStart(member);
				chooser.recordEnd(member, false, 0.95);
				chooser.recordCapacity(member, route.key, '13;60.5');
			}
		});
		const order = measure(() => {
			ranking.choose({all: members, preferred}, {route, elapsed: 0, isNested: false});
		});
		console.log(`${size} upstreams, ${name}: order of candidates ${order.toFixed(2)} us, whole choice with a report in three ${full.toFixed(2)} us`);
	}
}
