import fc from 'fast-check';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {
	MemberState, UpstreamState, type KeyRange, type Member,
} from '../generated/peers.js';
import {keySpaceSize, Membership, tombstoneTtlMs} from '../membership.js';
import {
	buildFullRange, listMembersInRange, rankLeaders, splitRange,
} from '../tree.js';

function buildMember(id: string, change: Partial<Member> = {}): Member {
	return {
		id,
		incarnation: 1,
		dataCentre: 'a',
		region: 'r',
		host: 'h',
		peerPort: 1,
		meshPort: 2,
		state: MemberState.ALIVE,
		service: 's',
		upstreamState: UpstreamState.READY,
		slots: 9,
		instance: 1,
		...change,
	};
}

const record = fc.record({
	id: fc.constantFrom('x', 'y', 'z'),
	incarnation: fc.integer({min: 1, max: 4}),
	state: fc.constantFrom(MemberState.ALIVE, MemberState.DEAD, MemberState.LEFT),
}).map(({id, ...change}) => buildMember(id, change));

describe('membership', () => {
	it('converges to the same table whatever the order and repetition of records', t => {
		t.notThrows(() => {
			fc.assert(fc.property(fc.array(record, {maxLength: 30}), fc.infiniteStream(fc.nat()), (records, order) => {
				const shuffled = records.map(item => ({item, rank: order.next().value as number})).toSorted((left, right) => left.rank - right.rank).map(({item}) => item);
				const [left, right] = [new Membership(), new Membership()];
				for (const item of records) {
					left.merge([item], 0);
				}

				right.merge(shuffled, 0);
				right.merge(records, 0);
				return left.hash === right.hash && ['x', 'y', 'z'].every(id => left.findMember(id)?.state === right.findMember(id)?.state);
			}), {seed: 20_261_203, numRuns: 300});
		});
	});

	it('lists only upstreams that are alive and ready', t => {
		const membership = new Membership();
		membership.merge([
			buildMember('ready'),
			buildMember('draining', {upstreamState: UpstreamState.DRAINING}),
			buildMember('dead', {state: MemberState.DEAD}),
		], 0);
		t.deepEqual(membership.listReady('s').map(member => member.id), ['ready']);
	});

	it('removes dead members when their time to live is over, and leaves them out of the hash', t => {
		const [left, right] = [new Membership(), new Membership()];
		left.merge([buildMember('x'), buildMember('y', {state: MemberState.DEAD})], 0);
		right.merge([buildMember('x')], 0);
		t.is(left.hash, right.hash);
		left.removeExpired(tombstoneTtlMs + 1);
		t.is(left.findMember('y'), undefined);
		t.not(left.findMember('x'), undefined);
	});
});

describe('push tree', () => {
	it('covers every member of a range once, whatever their count and the fan-out', t => {
		for (const count of [1, 2, 5, 40, 167]) {
			for (const fanout of [2, 3, 6]) {
				const membership = new Membership();
				membership.merge(Array.from({length: count}, (_, index) => buildMember(`m${index}`)), 0);
				const reached: string[] = [];
				const visit = (path: readonly string[], range: KeyRange) => {
					for (const branch of splitRange(listMembersInRange(membership, range, path), range, fanout)) {
						const leader = branch.candidates[0]!.member.id;
						reached.push(leader);
						visit([...path, leader], branch.range);
					}
				};

				visit(['m0'], buildFullRange('a'));
				t.is(new Set(reached).size, count - 1);
				t.is(reached.length, count - 1);
			}
		}
	});

	it('keeps the leader of a range when other members join and leave', t => {
		const members = Array.from({length: 30}, (_, index) => buildMember(`m${index}`));
		const findLeader = (without: string) => {
			const membership = new Membership();
			membership.merge(members.filter(member => member.id !== without), 0);
			return rankLeaders(membership.listAlive('a'), 7)[0]!.member.id;
		};

		const leader = findLeader('');
		const leaders = members.filter(member => member.id !== leader).map(member => findLeader(member.id));
		t.deepEqual(new Set(leaders), new Set([leader]));
		t.not(findLeader(leader), leader);
	});

	it('changes only one branch when a member joins', t => {
		const membership = new Membership();
		membership.merge(Array.from({length: 100}, (_, index) => buildMember(`m${index}`)), 0);
		const before = splitRange(listMembersInRange(membership, buildFullRange('a'), ['m0']), buildFullRange('a'), 4);
		membership.merge([buildMember('new')], 0);
		const after = splitRange(listMembersInRange(membership, buildFullRange('a'), ['m0']), buildFullRange('a'), 4);
		const changed = after.filter((branch, index) => branch.candidates.length !== before[index]!.candidates.length);
		t.is(changed.length, 1);
		t.is(after.at(-1)!.range.high, keySpaceSize);
	});
});
