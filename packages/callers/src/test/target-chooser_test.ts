import {SeededRandom} from '@ebonylead/base/random.js';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {Membership} from '@ebonylead/peers/membership.js';
import {RouteTable} from '@ebonylead/rules/route-table.js';
import {parseRuleFile} from '@ebonylead/rules/rule-file.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {type EjectionProbe} from '../ejection-probe.js';
import {TargetChooser} from '../target-chooser.js';

const {rules} = parseRuleFile('f', 'GET a.example/** -> s # A').unsafeCoerce();
const route = new RouteTable({version: 1, rules}).routes[0]!;

function buildMember(id: string, dataCentre: string): Member {
	return {
		id, dataCentre, incarnation: 1, region: 'r', host: id, peerPort: 1, meshPort: 1, state: MemberState.ALIVE, service: 's', upstreamState: UpstreamState.READY, slots: 6, instance: 1,
	};
}

/** Creates a chooser with the given reported loads for an upstream in its own data centre and one in another. */
async function createChooser(nearLoad: number, farLoad: number): Promise<TargetChooser> {
	const clock = new FakeClock();
	const membership = new Membership();
	const [near, far] = [buildMember('near', 'a'), buildMember('far', 'b')];
	membership.merge([near, far], clock.now());
	const chooser = new TargetChooser(membership, 'a', clock, new SeededRandom(1));
	chooser.choose('s', route, new Set());
	await clock.advance(10_000);
	for (const [member, load] of [[near, nearLoad], [far, farLoad]] as const) {
		chooser.recordStart(member);
		chooser.recordEnd(member, false, load);
	}

	return chooser;
}

describe('target chooser', () => {
	describe('between data centres', () => {
		const cases: ReadonlyArray<readonly [string, number, number, string]> = [
			['stays in its own while there is capacity', 0.5, 0, 'near'],
			['leaves its own for free capacity', 1.2, 0.5, 'far'],
			['stays in its own if both are full and the other has little less load', 1.3, 1, 'near'],
			['leaves a long queue for a much shorter one', 1.8, 1, 'far'],
		];
		for (const [title, near, far, expected] of cases) {
			it(title, async t => {
				const chooser = await createChooser(near, far);
				t.is(chooser.choose('s', route, new Set())?.id, expected);
			});
		}
	});

	describe('with several upstreams', () => {
		const longestEjectionMs = 60_000;
		const choicesPerSweep = 10_000;

		function createLocalChooser(clock: FakeClock, members: readonly Member[], probe?: EjectionProbe): TargetChooser {
			const membership = new Membership();
			membership.merge(members, clock.now());
			return new TargetChooser(membership, 'a', clock, new SeededRandom(1), probe);
		}

		function recordLoad(chooser: TargetChooser, member: Member, load: number): void {
			chooser.recordStart(member);
			chooser.recordEnd(member, false, load);
		}

		it('ejects one after failures in a row between which attempts were cancelled', t => {
			const member = buildMember('failing', 'a');
			const chooser = createLocalChooser(new FakeClock(), [member]);
			for (const isFailure of [true, undefined, true, undefined, true]) {
				t.is(chooser.findExclusion(member), undefined);
				chooser.recordStart(member);
				chooser.recordEnd(member, isFailure, undefined);
			}

			t.is(chooser.findExclusion(member), 'ejected');
		});

		it('does not take one whose reported load is some seconds old for an idle one', async t => {
			const clock = new FakeClock();
			const members = [buildMember('old', 'a'), buildMember('recent', 'a')] as const;
			const chooser = createLocalChooser(clock, members);
			chooser.choose('s', route, new Set());
			await clock.advance(10_000);
			recordLoad(chooser, members[0], 1.2);
			await clock.advance(6000);
			recordLoad(chooser, members[1], 1);
			t.is(chooser.choose('s', route, new Set())?.id, 'recent');
		});

		it('compares four of eight, so that the more loaded half gets few calls', async t => {
			const clock = new FakeClock();
			const members = Array.from({length: 8}, (_, index) => buildMember(`m${index}`, 'a'));
			const chooser = createLocalChooser(clock, members);
			chooser.choose('s', route, new Set());
			await clock.advance(10_000);
			for (const [index, member] of members.entries()) {
				recordLoad(chooser, member, 0.2 + (index / 10));
			}

			const choices = Array.from({length: 400}, () => chooser.choose('s', route, new Set())!.id);
			const loaded = choices.filter(id => Number(id.slice(1)) >= 4).length;
			t.true(loaded < 400 * 0.1, `${loaded} of 400`);
		});

		it('never compares one with itself, and chooses each of many equal ones', t => {
			const members = Array.from({length: 25}, (_, index) => buildMember(`m${index}`, 'a'));
			const chooser = createLocalChooser(new FakeClock(), members);
			const counts = new Map<string, number>();
			for (let choice = 0; choice < 5000; choice++) {
				const {id} = chooser.choose('s', route, new Set())!;
				counts.set(id, (counts.get(id) ?? 0) + 1);
			}

			t.is(counts.size, members.length);
			t.true([...counts.values()].every(count => count > 120 && count < 280), [...counts.values()].join(' '));
		});

		it('chooses one again soon after its sidecar was closed', async t => {
			const clock = new FakeClock();
			const members = [buildMember('closed', 'a'), buildMember('busy', 'a')] as const;
			const chooser = createLocalChooser(clock, members);
			chooser.choose('s', route, new Set());
			await clock.advance(10_000);
			recordLoad(chooser, members[0], 1000);
			for (let second = 0; second < 12; second++) {
				recordLoad(chooser, members[1], 2);
				await clock.advance(1000);
			}

			recordLoad(chooser, members[1], 3);
			t.is(chooser.choose('s', route, new Set())?.id, 'closed');
		});

		it('still chooses the only one of a service after it was ejected, as no other can serve', t => {
			const members = [buildMember('only', 'a')] as const;
			const chooser = createLocalChooser(new FakeClock(), members);
			chooser.recordUnreachable(members[0]);
			t.is(chooser.choose('s', route, new Set())?.id, 'only');
			t.is(chooser.choose('s', route, new Set(['only'])), undefined);
		});

		it('does not leave out one that has changed its record since it was ejected', t => {
			const members = [buildMember('back', 'a'), buildMember('other', 'a'), buildMember('third', 'a')] as const;
			const chooser = createLocalChooser(new FakeClock(), members);
			chooser.recordUnreachable(members[0]);
			t.is(chooser.findExclusion(members[0]), 'ejected');
			t.is(chooser.findExclusion({...members[0], incarnation: 2}), undefined);
		});

		it('keeps the ejection of one that never reported a load', async t => {
			const clock = new FakeClock();
			const members = [buildMember('unreachable', 'a'), buildMember('other', 'a'), buildMember('third', 'a')] as const;
			const chooser = createLocalChooser(clock, members);
			await clock.advance(longestEjectionMs * 20);
			chooser.recordUnreachable(members[0]);
			for (let choice = 0; choice < choicesPerSweep; choice++) {
				chooser.choose('s', route, new Set());
			}

			t.is(chooser.findExclusion(members[0]), 'ejected');
		});
	});

	describe('after an ejection', () => {
		const longestPauseMs = 8000;
		const members = [buildMember('lost', 'a'), buildMember('other', 'a'), buildMember('third', 'a')] as const;

		/** A probe with a set answer, which counts the questions. */
		class CountingProbe implements EjectionProbe {
			isUp = false;
			count = 0;

			async isResponding(): Promise<boolean> {
				this.count++;
				return this.isUp;
			}
		}

		function createProbedChooser(): {clock: FakeClock; membership: Membership; probe: CountingProbe; chooser: TargetChooser} {
			const clock = new FakeClock();
			const probe = new CountingProbe();
			const membership = new Membership();
			membership.merge(members, clock.now());
			return {
				clock, membership, probe, chooser: new TargetChooser(membership, 'a', clock, new SeededRandom(1), probe),
			};
		}

		it('sends no call to a node that is gone, however long, and asks it at growing intervals', async t => {
			const {clock, probe, chooser} = createProbedChooser();
			chooser.recordUnreachable(members[0]);
			for (let step = 0; step < 600; step++) {
				await clock.advance(100);
				t.not(chooser.choose('s', route, new Set())?.id, 'lost');
			}

			t.true(probe.count >= 60_000 / longestPauseMs && probe.count <= 20, `${probe.count} probes in 60 s`);
			chooser.close();
		});

		it('sends calls to a node again once it responds to a probe', async t => {
			const {clock, probe, chooser} = createProbedChooser();
			chooser.recordUnreachable(members[0]);
			await clock.advance(20_000);
			t.is(chooser.findExclusion(members[0]), 'ejected');
			probe.isUp = true;
			await clock.advance(longestPauseMs);
			t.is(chooser.findExclusion(members[0]), undefined);
			const {count} = probe;
			await clock.advance(60_000);
			t.is(probe.count, count);
		});

		it('counts the failures of calls that were in flight together as one', async t => {
			const {clock, probe, chooser} = createProbedChooser();
			for (let count = 0; count < 50; count++) {
				chooser.recordUnreachable(members[0]);
			}

			probe.isUp = true;
			await clock.advance(1000);
			t.is(chooser.findExclusion(members[0]), undefined);
			t.is(probe.count, 1);
		});

		it('asks once for each ejection, also if a call in flight succeeds and the node is lost again meanwhile', async t => {
			const {clock, probe, chooser} = createProbedChooser();
			chooser.recordUnreachable(members[0]);
			chooser.recordStart(members[0]);
			chooser.recordEnd(members[0], false, 0);
			await clock.advance(1000);
			chooser.recordUnreachable(members[0]);
			await clock.advance(1000);
			t.is(probe.count, 1);
			chooser.close();
		});

		it('stops asking when the member has written its record again, or this node stops', async t => {
			for (const end of ['restart', 'stop'] as const) {
				const {clock, membership, probe, chooser} = createProbedChooser();
				chooser.recordUnreachable(members[0]);
				if (end === 'restart') {
					membership.merge([{...members[0], incarnation: 2}], clock.now());
				} else {
					chooser.close();
				}

				await clock.advance(60_000);
				t.is(probe.count, 0, end);
			}
		});
	});
});
