/** The record that a node publishes about itself. */
import {MemberState, type Member} from './generated/peers.js';

/** The fields of a record that change while a node runs. */
export type SelfChange = Partial<Pick<Member, 'service' | 'upstreamState' | 'slots' | 'state'>>;

/**
 * Holds the record of this node.
 *
 * Only the node itself raises its incarnation. It starts from the wall clock, so
 * that the record of a process supersedes that of its predecessor with the same identity.
 */
export class SelfRecord {
	#member: Member;

	constructor(member: Member) {
		this.#member = member;
	}

	/** The current record. */
	get member(): Member {
		return this.#member;
	}

	/** Updates the record and raises its incarnation. */
	update(change: SelfChange): Member {
		this.#member = {...this.#member, ...change, incarnation: this.#member.incarnation + 1};
		return this.#member;
	}

	/**
	 * Refutes a record of this identity that does not come from this process.
	 *
	 * @returns The record that supersedes it, or undefined if it needs no refutation.
	 */
	refute(record: Member): Member | undefined {
		const own = this.#member;
		const isOutdated = record.incarnation < own.incarnation;
		const isSame = record.incarnation === own.incarnation && record.state === own.state && record.instance === own.instance;
		if (isOutdated || isSame) {
			return undefined;
		}

		this.#member = {...own, incarnation: record.incarnation + 1};
		return this.#member;
	}

	/** Returns whether a record was made by a newer process of the same identity. */
	isReplacedBy(record: Member): boolean {
		return record.id === this.#member.id
			&& record.instance !== this.#member.instance
			&& record.state === MemberState.ALIVE
			&& record.incarnation > this.#member.incarnation;
	}
}
