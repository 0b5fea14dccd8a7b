import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {MeshPools} from '../mesh-pools.js';

const origin = 'http://127.0.0.1:1';

describe('mesh pools', () => {
	describe('detect unresponsive connections by the clock that they are given', () => {
		it('and replace a pool on which no response arrived since a given time', async t => {
			const clock = new FakeClock();
			const pools = new MeshPools(clock);
			const pool = pools.getPool(origin);
			await clock.advance(100);
			pools.recordResponse(origin);
			t.true(pools.closeIfUnresponsive(origin, 150));
			t.not(pools.getPool(origin), pool);
			await pools.close();
		});

		it('and keep a pool that was created after that time, whose connections are others', async t => {
			const clock = new FakeClock();
			const pools = new MeshPools(clock);
			pools.getPool(origin);
			await clock.advance(100);
			t.true(pools.closeIfUnresponsive(origin, 50));
			const pool = pools.getPool(origin);
			t.false(pools.closeIfUnresponsive(origin, 50));
			t.is(pools.getPool(origin), pool);
			await pools.close();
		});

		it('and keep a pool on which one arrived', async t => {
			const clock = new FakeClock();
			const pools = new MeshPools(clock);
			pools.getPool(origin);
			await clock.advance(100);
			pools.recordResponse(origin);
			t.false(pools.closeIfUnresponsive(origin, 50));
			await pools.close();
		});
	});
});
