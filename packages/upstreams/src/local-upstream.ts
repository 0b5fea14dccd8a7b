/** The local upstream: its announced state, its slots and its connection pool. */
import {type Clock} from '@ebonylead/base/base.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {StateCell} from '@ebonylead/base/state-cell.js';
import {Pool} from 'undici';
import {AdmissionControl} from './admission.js';
import {type UpstreamAnnouncement} from './upstreams.js';

/** Whether the upstream accepts calls, and for which service with how many slots. */
export type UpstreamStatus = {
	readonly state: 'absent' | 'ready' | 'draining';
	readonly service: string;
	readonly slots: number;
};

/** An upstream counts as absent if it was not announced again within this time. */
const announcementTimeoutMs = 5000;
const checkIntervalMs = 500;
const connectTimeoutMs = 1000;

/** Idle connections are closed earlier than common servers close them, so that few calls are sent on a connection that the server is closing. */
const keepAliveTimeoutMs = 4000;

/** Connections in addition to the number of slots, as some may be closing. */
const spareConnections = 4;

/** Tracks the state of the local upstream by its announcements. */
export class LocalUpstream {
	/** Current status; observers are notified of each change. */
	readonly status = new StateCell<UpstreamStatus>({state: 'absent', service: '', slots: 0});

	/** Assigns the slots of the upstream to calls. */
	readonly admission: AdmissionControl;
	readonly #clock: Clock;
	readonly #log: Logger;
	#announcement: UpstreamAnnouncement | undefined;
	#announcedAt = 0;
	#pool: Pool | undefined;

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

	/** Applies an announcement; the upstream repeats it as a heartbeat. */
	applyAnnouncement(announcement: UpstreamAnnouncement): void {
		const previous = this.#announcement;
		this.#announcement = announcement;
		this.#announcedAt = this.#clock.now();
		if (this.#pool === undefined || previous?.url !== announcement.url || previous.instance !== announcement.instance || previous.connections !== announcement.connections) {
			this.#replacePool(announcement);
		}

		if (previous?.slots !== announcement.slots) {
			this.admission.setSlots(announcement.slots);
		}

		this.#setState(announcement.state);
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

	/** Marks the upstream as draining, as its process is about to end; calls in flight continue. */
	drain(): void {
		if (this.#announcement) {
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

	#setState(state: UpstreamStatus['state']): void {
		const {service, slots} = this.#announcement!;
		const previous = this.status.value;
		if (previous.state === state && previous.service === service && previous.slots === slots) {
			return;
		}

		this.#log.info(`Upstream of "${service}" is ${state}`);
		if (state === 'ready') {
			this.admission.open();
		} else {
			this.admission.close();
		}

		this.status.set({state, service, slots});
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
