/** The local upstream: its announced state, its slots and its connection pool. */
import {type Clock} from '@ebonylead/base/base.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {StateCell} from '@ebonylead/base/state-cell.js';
import {Pool} from 'undici';
import {AdmissionControl} from './admission.js';
import {isConnectionRefused} from './connection-probe.js';
import {NamedLimit} from './named-limit.js';
import {
	buildIncarnationKey, isSameOrLaterProcess, type CarriedNotice, type UpstreamNotice,
} from './upstream-notice.js';
import {type UpstreamAnnouncement} from './upstreams.js';

/** Whether the upstream accepts calls, and for which service with how many slots. */
export type UpstreamStatus = {
	readonly state: 'absent' | 'ready' | 'draining';
	readonly service: string;
	readonly slots: number;

	/** Version of its program; absent if it named none. */
	readonly version?: string;
};

/** An upstream counts as absent if it was not announced again within this time in milliseconds. */
export const announcementTimeoutMs = 5000;
const checkIntervalMs = 500;
const connectTimeoutMs = 1000;

/** Idle connections are closed earlier than common servers close them, so that few calls are sent on a connection that the server is closing. */
const keepAliveTimeoutMs = 4000;

/** Connections in addition to the number of slots, as some may be closing. */
const spareConnections = 4;

/** Maximum number of upstream processes that are remembered to have left; far more than can have announcements or responses in transit. */
const maxLeft = 64;

/** A response of the upstream, as far as it shows what the upstream says of itself. */
export type NoticedResponse = {
	readonly notice: UpstreamNotice;

	/** Key of the upstream process that the request was sent to. */
	readonly incarnation: string;

	/** Monotonic time in milliseconds at which the request was sent. */
	readonly requestedAt: number;

	/** Whether the response is the upstream's own to a call that ran. Only such a response shows that a limit has ended. */
	readonly isFinal: boolean;
};

/** Tracks the state of the local upstream by its announcements and responses. */
export class LocalUpstream {
	/** Current status; observers are notified of each change. */
	readonly status = new StateCell<UpstreamStatus>({state: 'absent', service: '', slots: 0});

	/** Called with the key of an upstream process when another one was announced in its place. */
	onReplaced: ((incarnation: string) => void) | undefined;

	/** Assigns the slots of the upstream to calls. */
	readonly admission: AdmissionControl;
	readonly #clock: Clock;
	readonly #log: Logger;
	#announcement: UpstreamAnnouncement | undefined;
	#announcedAt = 0;
	#pool: Pool | undefined;
	#namedLimit = new NamedLimit();

	/** Whether a response of the present upstream process has arrived; before, other nodes may know its limit better. */
	#hasResponded = false;

	/** Keys of the upstream processes that leave or have left. An announcement from before may still arrive. */
	readonly #left = new Set<string>();

	/** Version whose processes a roll-out has withdrawn; undefined if none is. */
	#withdrawnVersion: string | undefined;

	constructor(clock: Clock, log: Logger) {
		this.#clock = clock;
		this.#log = log;
		this.admission = new AdmissionControl(clock, 0);
	}

	/** Connection pool of the upstream; undefined if none was announced. */
	get pool(): Pool | undefined {
		return this.#pool;
	}

	/** Address of the upstream; empty if none was announced. */
	get origin(): string {
		return this.#announcement?.url ?? '';
	}

	/** Identity of the upstream process; empty if it announced none. */
	get instance(): string {
		return this.#announcement?.instance ?? '';
	}

	/** Key of the upstream process; empty if none with an identity was announced. */
	get incarnation(): string {
		return buildIncarnationKey(this.#announcement?.instance, this.#announcement?.startedAt);
	}

	/** Version of the upstream's program; empty if it named none. */
	get version(): string {
		return this.#announcement?.version ?? '';
	}

	/** Milliseconds left of the warm-up at the last announcement. */
	get warmupLeft(): number {
		return this.#announcement?.warmupLeft ?? 0;
	}

	/** Whether the upstream process leaves or has left. */
	get hasLeft(): boolean {
		return this.hasProcessLeft(this.incarnation);
	}

	/** What the upstream says of itself at present, for other nodes; undefined if it names no limit and does not leave. */
	get notice(): CarriedNotice | undefined {
		const {incarnation} = this;
		const {rate} = this.#namedLimit;
		const isLeaving = this.hasLeft;
		return incarnation === '' || (rate === undefined && !isLeaving)
			? undefined
			: {
				incarnation, rateLimit: rate, isLeaving, age: 0,
			};
	}

	/** Applies an announcement; the upstream repeats it as a heartbeat. A process that leaves does not become ready again. */
	applyAnnouncement(announcement: UpstreamAnnouncement): void {
		const previous = this.#announcement;
		const before = this.incarnation;
		this.#announcement = announcement;
		this.#announcedAt = this.#clock.now();
		if (this.#pool === undefined || previous?.url !== announcement.url || previous.instance !== announcement.instance || previous.connections !== announcement.connections) {
			this.#replacePool(announcement);
		}

		if (before !== this.incarnation) {
			this.#namedLimit = new NamedLimit();
			this.#hasResponded = false;
			this.admission.setRateLimit(undefined);
		}

		if (previous?.slots !== announcement.slots) {
			this.admission.setSlots(announcement.slots);
		}

		if (announcement.state === 'draining') {
			this.#addLeft(this.incarnation);
		}

		this.#setState(this.#chooseState(announcement));
		if (before !== '' && before !== this.incarnation) {
			this.onReplaced?.(before);
		}
	}

	/**
	 * Takes the upstream out of use while it is of a version, as a roll-out has
	 * decided; undefined ends this. Unlike a leave it can be reverted, as a
	 * decision that was not recorded in the store may be superseded.
	 */
	setWithdrawnVersion(version: string | undefined): void {
		if (version === this.#withdrawnVersion) {
			return;
		}

		this.#withdrawnVersion = version;
		if (this.#announcement && this.status.value.state !== 'absent') {
			this.#setState(this.#chooseState(this.#announcement));
		}
	}

	/** Returns whether an upstream process leaves or has left. */
	hasProcessLeft(incarnation: string): boolean {
		return this.#left.has(incarnation);
	}

	/** Records that a process of the upstream leaves or has left, and so have earlier ones with its identity; the source is for the log. */
	recordLeft(incarnation: string, source: string): void {
		this.#handleLeave(incarnation, source);
	}

	/** Records what a response of the upstream says of it. */
	recordResponse({notice, incarnation, requestedAt, isFinal}: NoticedResponse): void {
		if (incarnation !== this.incarnation) {
			return;
		}

		if (isFinal || notice.rateLimit !== undefined) {
			this.#hasResponded = true;
			this.#recordLimit(notice.rateLimit, requestedAt, this.#clock.now(), 'a response');
		}

		if (notice.isLeaving) {
			this.#handleLeave(incarnation, 'a response');
		}
	}

	/**
	 * Merges what another node knows of the upstream from responses that it
	 * passed on, as this process may have started later than they were sent.
	 */
	mergeNotice({incarnation, rateLimit, isLeaving, age}: CarriedNotice): void {
		if (isLeaving) {
			this.#handleLeave(incarnation, 'another node');
		}

		if (rateLimit !== undefined && incarnation === this.incarnation && !this.#hasResponded) {
			const namedAt = this.#clock.now() - age;
			// The other node learned of it no earlier than the upstream named it.
			this.#recordLimit(rateLimit, namedAt, namedAt, 'another node');
		}
	}

	/** Marks the upstream as absent when its announcements stop; runs until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#clock.sleep(checkIntervalMs, signal);
			if (this.#announcement && this.#clock.now() - this.#announcedAt > announcementTimeoutMs) {
				this.#setState('absent');
			}
		}
	}

	/**
	 * Marks the upstream as absent after it refused a connection, without waiting
	 * for its announcement to expire. Its next announcement reverts this.
	 */
	handleConnectionRefused(): void {
		this.#setState('absent');
	}

	/** Marks the upstream as absent if it was draining and its process has ended. */
	async probeEnd(): Promise<void> {
		if (this.status.value.state === 'draining' && await isConnectionRefused(this.origin)) {
			this.#setState('absent');
		}
	}

	/** Marks the upstream as draining, as its process is about to end; calls in flight continue. */
	drain(): void {
		if (this.#announcement) {
			this.#addLeft(this.incarnation);
			this.#setState('draining');
		}
	}

	/** Marks the upstream as absent after another process responded at its address. */
	handleOtherInstance(): void {
		this.#setState('absent');
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.#pool?.destroy();
	}

	#recordLimit(rate: number | undefined, requestedAt: number, respondedAt: number, source: string): void {
		const before = this.#namedLimit.rate;
		if (this.#namedLimit.record(rate, requestedAt, respondedAt)) {
			this.#log.info({
				instance: this.instance, limit: rate, before, source, age: Math.round(this.#clock.now() - respondedAt),
			}, rate === undefined ? 'The upstream names no limit any more' : 'The upstream names a limit');
			this.admission.setRateLimit(rate);
		}
	}

	#handleLeave(incarnation: string, source: string): void {
		this.#addLeft(incarnation);
		if (!isSameOrLaterProcess(incarnation, this.incarnation)) {
			return;
		}

		this.#addLeft(this.incarnation);
		if (this.status.value.state === 'ready') {
			this.#log.info({instance: this.instance, incarnation, source}, 'The upstream leaves');
			this.#setState('draining');
		}
	}

	#addLeft(incarnation: string): void {
		// Without an identity, the next process could not be told from this one.
		if (incarnation === '') {
			return;
		}

		this.#left.add(incarnation);
		for (const oldest of this.#left) {
			if (this.#left.size <= maxLeft) {
				return;
			}

			this.#left.delete(oldest);
		}
	}

	#chooseState({state, version = ''}: UpstreamAnnouncement): UpstreamStatus['state'] {
		return this.hasLeft || version === this.#withdrawnVersion ? 'draining' : state;
	}

	#setState(state: UpstreamStatus['state']): void {
		const {service, slots, version} = this.#announcement!;
		const previous = this.status.value;
		if (previous.state === state && previous.service === service && previous.slots === slots && previous.version === version) {
			return;
		}

		this.#log.info(`Upstream of "${service}" is ${state}`);
		if (state === 'ready') {
			this.admission.open();
		} else {
			this.admission.close();
		}

		this.status.set({
			state, service, slots, ...(version !== undefined && {version}),
		});
	}

	#replacePool(announcement: UpstreamAnnouncement): void {
		const previous = this.#pool;
		this.#pool = new Pool(announcement.url, {
			connections: Math.min(announcement.connections, announcement.slots + spareConnections),
			pipelining: 1,
			keepAliveTimeout: keepAliveTimeoutMs,
			keepAliveMaxTimeout: keepAliveTimeoutMs,
			connect: {timeout: connectTimeoutMs},
		});
		// Calls in flight on the previous pool are completed before it closes.
		void previous?.close();
	}
}
