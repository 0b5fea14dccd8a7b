/** The upstream beside this node: what it announced, its slots and its connections. */
import {type Clock} from '@ebonylead/base/base.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {StateCell} from '@ebonylead/base/state-cell.js';
import {Pool} from 'undici';
import {AdmissionControl} from './admission.js';
import {type UpstreamAnnouncement} from './upstreams.js';

/** Whether the upstream takes calls. */
export type UpstreamStatus = {
	readonly state: 'absent' | 'ready' | 'draining';
	readonly service: string;
	readonly slots: number;
};

/** Time in milliseconds after which an upstream that does not announce itself again is absent. */
const announcementTimeoutMs = 5000;
const checkIntervalMs = 500;
const connectTimeoutMs = 1000;

/** Idle connections are closed earlier than common servers close them, so that few calls meet a closing one. */
const keepAliveTimeoutMs = 4000;

/** Connections beyond the slots, for those that are closing. */
const spareConnections = 4;

/** Follows the announcements of the upstream beside this node. */
export class LocalUpstream {
	readonly status = new StateCell<UpstreamStatus>({state: 'absent', service: '', slots: 0});
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

	/** The connections to the upstream, or undefined where none was announced. */
	get pool(): Pool | undefined {
		return this.#pool;
	}

	/** The address of the upstream; empty where none was announced. */
	get origin(): string {
		return this.#announcement?.url ?? '';
	}

	/** Identity of the upstream process; empty where it announced none. */
	get instance(): string {
		return this.#announcement?.instance ?? '';
	}

	/** Takes an announcement; the upstream repeats it as a heartbeat. */
	receive(announcement: UpstreamAnnouncement): void {
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

	/** Watches for an upstream that falls silent, until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#clock.sleep(checkIntervalMs, signal);
			if (this.#announcement && this.#clock.now() - this.#announcedAt > announcementTimeoutMs) {
				this.#setState('absent');
			}
		}
	}

	/**
	 * Notes that the upstream refused a connection: it is gone before its
	 * announcement has lapsed. Its next announcement brings it back.
	 */
	handleConnectionRefused(): void {
		this.#setState('absent');
	}

	/** Takes no new calls: the upstream process said that it goes. */
	drain(): void {
		if (this.#announcement) {
			this.#setState('draining');
		}
	}

	/** Notes that another upstream process answers at the address: the announced one is gone. */
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
		// Calls on the earlier pool end there.
		void previous?.close();
	}
}
