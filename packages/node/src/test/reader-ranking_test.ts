import {SeededRandom} from '@ebonylead/base/random.js';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {Membership} from '@ebonylead/peers/membership.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {ReaderRanking} from '../reader-ranking.js';

function buildMember(index: number, linkRate: number | undefined): Member {
	return {
		id: `n${index}`,
		incarnation: 1,
		dataCentre: 'a',
		region: 'r',
		host: `10.0.0.${index}`,
		peerPort: 1,
		meshPort: 1,
		state: MemberState.ALIVE,
		service: '',
		upstreamState: UpstreamState.ABSENT,
		slots: 0,
		instance: index,
		linkRate,
	};
}

function createRanking(id: string, linkRates: ReadonlyArray<number | undefined>): ReaderRanking {
	const membership = new Membership();
	membership.merge(linkRates.map((linkRate, index) => buildMember(index, linkRate)), 0);
	return new ReaderRanking({
		id, dataCentre: 'a', membership, clock: new FakeClock(), random: new SeededRandom(1), readerCount: 2,
	});
}

describe('reader ranking', () => {
	it('prefers nodes with fast links, so that the rules of each version do not fill a slow one', t => {
		const linkRates = [3500, 3500, 70_000, 3500, undefined, 70_000, 3500, 3500];
		const ranking = createRanking('n0', linkRates);
		t.false(ranking.isReader);
		t.deepEqual(ranking.listOrigins().toSorted(), ['http://10.0.0.2:1', 'http://10.0.0.5:1']);
		t.true(createRanking('n2', linkRates).isReader);
		t.true(createRanking('n5', linkRates).isStandby);
	});

	it('chooses other nodes while those with fast links are suspended', t => {
		const ranking = createRanking('n0', [3500, 3500, 70_000, 70_000]);
		ranking.suspend('http://10.0.0.2:1');
		ranking.suspend('http://10.0.0.3:1');
		t.true(ranking.isReader);
		t.deepEqual(ranking.listOrigins(), ['http://10.0.0.1:1']);
	});
});
