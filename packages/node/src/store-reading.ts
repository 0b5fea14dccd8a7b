/** Reads the rules from the store while this node needs to. */
import {type RuleSource, type RulesHandler} from '@ebonylead/rules/rule-source.js';

/** Starts and stops the source of the rules. */
export class StoreReading {
	readonly #source: RuleSource;
	readonly #onRules: RulesHandler;
	#controller: AbortController | undefined;
	#running: Promise<void> = Promise.resolve();

	constructor(source: RuleSource, onRules: RulesHandler) {
		this.#source = source;
		this.#onRules = onRules;
	}

	/** Whether the store is being read. */
	get isActive(): boolean {
		return this.#controller !== undefined;
	}

	/** Starts to read, after an earlier reading has ended. */
	start(): void {
		this.#controller ??= this.#run();
	}

	/** Stops reading. Resolves when the last request has ended. */
	async stop(): Promise<void> {
		this.#controller?.abort();
		this.#controller = undefined;
		await this.#running;
	}

	#run(): AbortController {
		const controller = new AbortController();
		const previous = this.#running;
		this.#running = this.#readAfter(previous, controller.signal);
		return controller;
	}

	async #readAfter(previous: Promise<void>, signal: AbortSignal): Promise<void> {
		await previous;
		await this.#source.run(signal, this.#onRules);
	}
}
