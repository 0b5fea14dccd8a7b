/** Takes what the upstream beside this node announces, and tells the other nodes. */
import {type Logger} from '@ebonylead/base/logs.js';
import {UpstreamState} from '@ebonylead/peers/generated/peers.js';
import {AnnouncementOrder, type AnnouncementStamp} from '@ebonylead/upstreams/announcement-order.js';
import {type LocalUpstream, type UpstreamStatus} from '@ebonylead/upstreams/local-upstream.js';
import {type UpstreamAnnouncement} from '@ebonylead/upstreams/upstreams.js';
import {type MemberDirectory, type RecordedUpstream} from './member-directory.js';

/** An announcement with what orders it. */
export type StampedAnnouncement = {
	readonly announcement: UpstreamAnnouncement;
	readonly stamp: AnnouncementStamp;
};

/** Longest time in milliseconds that an acknowledgement of leaving waits for the store; upstreams wait for one second. */
const leaveNoticeTime = 600;

const upstreamStates = {absent: UpstreamState.ABSENT, ready: UpstreamState.READY, draining: UpstreamState.DRAINING} as const;

/**
 * Orders announcements, and puts the newest in force.
 *
 * Leaving is in force here before it is acknowledged: admission takes no more
 * calls, so no other node has to hear of it in time.
 */
export class UpstreamIntake {
	readonly #link: LocalUpstream;
	readonly #directory: MemberDirectory;
	readonly #log: Logger;
	readonly #order = new AnnouncementOrder();
	#newest: RecordedUpstream | undefined;

	constructor(link: LocalUpstream, directory: MemberDirectory, log: Logger) {
		this.#link = link;
		this.#directory = directory;
		this.#log = log;
	}

	/** Takes an announcement; resolves when it may be acknowledged. */
	async receive({announcement, stamp}: StampedAnnouncement): Promise<void> {
		const known = this.#order.newest;
		if (!this.#order.accept(stamp)) {
			this.#log.info({stamp, known}, 'Set a late announcement aside');
			return;
		}

		const before = this.#link.status.value.state;
		this.#newest = {announcement, stamp};
		this.#link.receive(announcement);
		if (announcement.state === 'draining' && before !== 'draining') {
			await this.#spread(this.#link.status.value, leaveNoticeTime);
		}
	}

	/**
	 * Goes on with the upstream that an earlier process of this node knew.
	 *
	 * The upstream may have ended since. That does no harm, as calls name the
	 * upstream process that must take them.
	 */
	restore({announcement, stamp}: RecordedUpstream, state: UpstreamState): void {
		if (state === UpstreamState.ABSENT || !this.#order.accept(stamp)) {
			return;
		}

		this.#newest = {announcement, stamp};
		this.#link.receive({...announcement, state: state === UpstreamState.READY ? 'ready' : 'draining'});
		this.#log.info({stamp, state}, 'Goes on with the upstream of an earlier process');
	}

	/** Takes the word of an upstream process that it is gone or about to go. */
	async receiveEnd(instance: string, startedAt: number | undefined): Promise<void> {
		this.#order.recordEnd(instance, startedAt);
		if (this.#link.instance !== instance) {
			this.#log.info({instance, known: this.#link.instance}, 'An upstream process that is not in use said that it ended');
			return;
		}

		this.#link.drain();
		await this.#spread(this.#link.status.value, leaveNoticeTime);
	}

	/** Follows the upstream's state, and tells the other nodes of each change. */
	async run(): Promise<void> {
		await this.#link.status.observeChanges().skip(1).observe(status => {
			void this.#spread(status, 0);
		});
	}

	async #spread({state, service, slots}: UpstreamStatus, limit: number): Promise<void> {
		await this.#directory.change({upstreamState: upstreamStates[state], service, slots}, limit, this.#newest);
	}
}
