/** Writes what happened, with times in milliseconds since the start, to `record.txt` in the folder of a case. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';

/** Keeps the lines of one run of a case. */
export class Record {
	lines = [];
	#path;
	#startedAt = performance.now();

	constructor(path) {
		this.#path = path;
	}

	/** Milliseconds since the start. */
	get now() {
		return Math.round(performance.now() - this.#startedAt);
	}

	/** Adds a line of fields. */
	add(kind, fields = {}) {
		const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ');
		this.lines.push(`${String(this.now).padStart(7)} ${kind} ${text}`.trimEnd());
	}

	/** Adds a line that is printed as well. */
	tell(text) {
		this.add('--', {note: text});
		process.stdout.write(`${text}\n`);
	}

	write() {
		writeFileSync(this.#path, `${this.lines.join('\n')}\n`);
	}
}

/** Lets a promise go on by itself; an error ends the case. */
export function detach(promise) {
	promise.catch(error => {
		setImmediate(() => {
			throw error;
		});
	});
}
