/** The lines of a rule file that name organisations. Their keys appear in no fault. */
import {type Organisation} from '@ebonylead/organisations/organisations.js';
import {maxPriority} from './rules.js';

export type Location = {readonly start: {readonly column: number}};

/** An organisation line as `rule-line.peggy` parses it. */
export type ParsedOrganisation = {
	readonly kind: 'organisation';
	readonly name: string;
	readonly options: ReadonlyArray<{readonly kind: 'key' | 'priority' | 'rate' | 'burst'; readonly value: string | number; readonly location: Location}>;
	readonly askedBy: string;
	readonly reason: string;
};

/** Reports a fault: line, column, what was found, advice. */
export type FaultHandler = (line: number, column: number, found: string, advice: string) => void;

/** Text that needs no quotes as a name or a key. */
const plainPattern = /^[A-Za-z0-9._~+\/=:\-]+$/v;

/** Text that can be sent as a header value. */
const headerTextPattern = /^[\u{20}-\u{7E}]+$/v;

/** Returns whether a line is meant to name an organisation. */
export function isOrganisationLine(line: string): boolean {
	return line.trimStart().startsWith('organisation');
}

/** Formats an organisation as a line of a rule file, with its keys. */
export function formatOrganisation({name, keys, priority, rate, burst, askedBy = 'operator', reason = ''}: Organisation): string {
	const parts = [
		`organisation ${formatLabel(name)}`,
		...keys.map(key => `key ${formatLabel(key)}`),
		...(priority === undefined ? [] : [`priority ${priority}`]),
		...(rate === undefined ? [] : [`rate ${rate}/s`]),
		...(burst === undefined ? [] : [`burst ${burst}`]),
		`# ${askedBy}${reason === '' ? '' : `: ${reason}`}`,
	];
	return parts.join(' ');
}

/** As `formatOrganisation`, for output to people who need not know the keys. */
export function formatOrganisationWithoutKeys(organisation: Organisation): string {
	return formatOrganisation({...organisation, keys: []}).replace(' #', ` (${organisation.keys.length} keys) #`);
}

function formatLabel(text: string): string {
	return plainPattern.test(text) ? text : `"${text}"`;
}

/** Collects the organisations of a file, whose names and keys must differ. */
export class OrganisationLines {
	readonly list: Organisation[] = [];
	readonly #onFault: FaultHandler;
	readonly #lineByName = new Map<string, number>();
	readonly #lineByKey = new Map<string, number>();

	constructor(onFault: FaultHandler) {
		this.#onFault = onFault;
	}

	/** Adds an organisation, or reports what is wrong with it. */
	add(line: number, parsed: ParsedOrganisation): void {
		const {name, askedBy, reason} = parsed;
		const earlier = this.#lineByName.get(name);
		if (earlier !== undefined) {
			this.#onFault(line, 1, `the organisation "${name}"`, `line ${earlier} names the same organisation; keep one of the two lines`);
			return;
		}

		if (!headerTextPattern.test(name) || name.trim() !== name) {
			this.#onFault(line, 1, 'the name', 'use ASCII text without spaces at its ends, as the name is sent in a header');
		}

		this.#lineByName.set(name, line);
		const keys = parsed.options.filter(option => option.kind === 'key').map(({value, location}) => this.#readKey(line, location, value as string));
		const rate = this.#readNumber(line, parsed, 'rate');
		this.list.push({
			name,
			keys,
			priority: this.#readNumber(line, parsed, 'priority', maxPriority),
			// A rate of 0 means that there is no limit.
			rate: rate === 0 ? undefined : rate,
			burst: this.#readNumber(line, parsed, 'burst'),
			askedBy,
			reason,
		});
	}

	#readKey(line: number, location: Location, key: string): string {
		const earlier = this.#lineByKey.get(key);
		if (earlier !== undefined) {
			this.#onFault(line, location.start.column, 'a key', `line ${earlier} has the same key; give each key to one organisation once`);
		}

		if (!headerTextPattern.test(key) || key.trim() !== key) {
			this.#onFault(line, location.start.column, 'a key', 'use ASCII text without spaces at its ends, as the key is sent in a header');
		}

		this.#lineByKey.set(key, line);
		return key;
	}

	#readNumber(line: number, {options}: ParsedOrganisation, kind: 'priority' | 'rate' | 'burst', limit = Number.MAX_SAFE_INTEGER): number | undefined {
		const found = options.filter(option => option.kind === kind);
		if (found.length > 1) {
			this.#onFault(line, found[1]!.location.start.column, `a second ${kind}`, 'give it once');
		}

		const value = found[0]?.value as number | undefined;
		if (value !== undefined && value > limit) {
			this.#onFault(line, found[0]!.location.start.column, `${kind} ${value}`, `write a ${kind} from 0 to ${limit}`);
		}

		return value;
	}
}
