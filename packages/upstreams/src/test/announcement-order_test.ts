import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {AnnouncementOrder} from '../announcement-order.js';

const first = {instance: 'i-1', startedAt: 1000, sequence: 4};

describe('announcement order', () => {
	describe('of one process', () => {
		it('accepts newer announcements, but no late or repeated ones', t => {
			const order = new AnnouncementOrder();
			t.true(order.accept(first));
			t.false(order.accept(first));
			t.false(order.accept({...first, sequence: 3}));
			t.true(order.accept({...first, sequence: 5}));
		});

		it('accepts none after the process has deregistered', t => {
			const order = new AnnouncementOrder();
			order.accept(first);
			order.recordEnd('i-1', undefined, 5000);
			t.false(order.accept({...first, sequence: 5}));
		});
	});

	describe('of two processes at one address', () => {
		it('does not accept a late announcement of the earlier one', t => {
			const order = new AnnouncementOrder();
			order.accept(first);
			t.true(order.accept({instance: 'i-2', startedAt: 2000, sequence: 1}));
			t.false(order.accept({...first, sequence: 9}));
		});

		it('distinguishes them by start time if both have one identity, and restarts the sequence', t => {
			const order = new AnnouncementOrder();
			order.accept(first);
			t.true(order.accept({...first, startedAt: 2000, sequence: 1}));
			t.false(order.accept({...first, sequence: 9}));
			t.true(order.accept({...first, startedAt: 2000, sequence: 2}));
		});

		it('does not accept one without a start time if others with the identity have one, in either order', t => {
			const order = new AnnouncementOrder();
			order.accept(first);
			t.false(order.accept({...first, startedAt: undefined, sequence: 9}));
			t.true(order.accept({...first, sequence: 5}));
			const other = new AnnouncementOrder();
			other.accept({...first, startedAt: undefined, sequence: 9});
			t.true(other.accept({...first, sequence: 5}));
			t.false(other.accept({...first, startedAt: undefined, sequence: 10}));
		});

		it('does not accept another one without a start time if the present one has told its own', t => {
			const order = new AnnouncementOrder();
			order.accept(first);
			t.false(order.accept({instance: 'i-2', startedAt: undefined, sequence: 9}));
			t.true(order.accept({...first, sequence: 5}));
		});

		it('accepts none of an earlier one after the later one with its identity has deregistered, and all of one that starts after it', t => {
			const order = new AnnouncementOrder();
			order.recordEnd('i-1', 2000, 5000);
			t.false(order.accept(first));
			t.false(order.accept({...first, startedAt: 2000, sequence: 9}));
			t.true(order.accept({...first, startedAt: 2001, sequence: 1}));
			order.recordEnd('i-1', 1000, 6000);
			t.true(order.accept({...first, startedAt: 2001, sequence: 2}));
			t.true(order.hasEnded({...first, startedAt: 2000}), 'an earlier end, late, does not undo a later one');
		});

		it('accepts the other one if no start time is announced', t => {
			const order = new AnnouncementOrder();
			order.accept({...first, startedAt: undefined});
			t.true(order.accept({instance: 'i-2', startedAt: undefined, sequence: 1}));
			t.false(order.accept({...first, startedAt: undefined, sequence: 9}));
		});
	});
});
