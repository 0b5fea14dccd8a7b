/** Parses rule files, and reports all faults in them at once. */
import {type Organisation} from '@ebonylead/organisations/organisations.js';
import {Left, Right, type Either} from 'purify-ts';
import {parse, SyntaxError as LineSyntaxError} from './generated/rule-line.js';
import {
	formatOrganisation, isOrganisationLine, OrganisationLines, type Location, type ParsedOrganisation,
} from './organisation-lines.js';
import {
	getRuleKey, defaultDeadlineMs, formatRule, maxDeadlineMs, safeMethods, type HeaderMatch, type Rule, type Snapshot,
} from './rules.js';

/** A fault in a rule file. */
export type RuleFault = {
	readonly file: string;

	/** Line number from 1. */
	readonly line: number;

	/** Column number from 1. */
	readonly column: number;

	/** What stands at that position: the quoted text or a description. */
	readonly found: string;

	/** What is wrong and how to correct it. */
	readonly advice: string;
};

/** The content of a rule file. */
export type RuleFile = {
	/** The version from which the file was edited, if the file names one. */
	readonly baseVersion?: number;
	readonly rules: readonly Rule[];

	/** The organisations; undefined if the file names none. */
	readonly organisations?: readonly Organisation[];
};

/** Maximum number of rules in a file. */
export const maxRules = 20_000;

/** The comment that names the version from which a file was edited. */
const baseVersionPattern = /^#\s*ebonylead base version (\d+)\s*$/v;

/** Maximum number of slots that a rule may set. */
const maxSlots = 10_000;

/** A rule line as `rule-line.peggy` parses it. */
type ParsedRule = {
	readonly kind: 'rule';
	readonly methods: readonly string[];
	readonly host: string;
	readonly path: string;
	readonly headers: ReadonlyArray<HeaderMatch & {readonly location: Location}>;
	readonly split: ReadonlyArray<{readonly service: string; readonly weight: number | null; readonly location: Location}>;
	readonly options: ReadonlyArray<{readonly kind: 'idempotent' | 'public' | 'deadline' | 'slots' | 'prefer'; readonly value: boolean | number | string; readonly location: Location}>;
	readonly askedBy: string;
	readonly reason: string;
};

type ParsedLine = ParsedRule | ParsedOrganisation;

/**
 * Parses the text of a rule file.
 *
 * @param file Name of the file, for the faults.
 * @returns The rules, or all faults in the order of their lines.
 */
export function parseRuleFile(file: string, text: string): Either<RuleFault[], RuleFile> {
	return new RuleFileParser(file).parse(text);
}

/** Formats a fault as one line of text: file, line, column, what was found, advice. */
export function formatFault(fault: RuleFault): string {
	return `${fault.file}:${fault.line}:${fault.column}: read ${fault.found}; ${fault.advice}`;
}

/** Formats a snapshot as a rule file that can be edited and submitted. */
export function formatRuleFile(snapshot: Snapshot): string {
	const organisations = (snapshot.organisations ?? []).map(organisation => formatOrganisation(organisation));
	const lines = [`# ebonylead base version ${snapshot.version}`, ...organisations, ...snapshot.rules.map(rule => formatRule(rule))];
	return `${lines.join('\n')}\n`;
}

/** Parses one file, and collects its faults instead of stopping at the first one. */
class RuleFileParser {
	readonly #file: string;
	readonly #faults: RuleFault[] = [];
	readonly #rules: Rule[] = [];
	readonly #lineByKey = new Map<string, number>();
	readonly #organisations = new OrganisationLines((line, column, found, advice) => {
		this.#addFault(line, column, found, advice);
	});

	#baseVersion: number | undefined;

	constructor(file: string) {
		this.#file = file;
	}

	parse(text: string): Either<RuleFault[], RuleFile> {
		for (const [index, line] of text.split(/\r?\n/v).entries()) {
			this.#parseLine(index + 1, line);
		}

		if (this.#rules.length > maxRules) {
			this.#addFault(maxRules + 1, 1, `${this.#rules.length} rules`, `write at most ${maxRules} rules in one file`);
		}

		if (this.#faults.length > 0) {
			return Left(this.#faults);
		}

		return Right({baseVersion: this.#baseVersion, rules: this.#rules, ...(this.#organisations.list.length === 0 ? {} : {organisations: this.#organisations.list})});
	}

	#parseLine(lineNumber: number, line: string): void {
		const base = baseVersionPattern.exec(line);
		if (base) {
			this.#baseVersion = Number(base[1]);
			return;
		}

		if (line.trim() === '' || line.trimStart().startsWith('#')) {
			return;
		}

		const parsed = this.#parseText(lineNumber, line);
		if (parsed?.kind === 'organisation') {
			this.#organisations.add(lineNumber, parsed);
		} else if (parsed) {
			this.#addRule(lineNumber, parsed);
		}
	}

	#parseText(lineNumber: number, line: string): ParsedLine | undefined {
		try {
			return parse(line.trimEnd()) as ParsedLine;
		} catch (error) {
			if (!(error instanceof LineSyntaxError)) {
				throw error;
			}

			this.#addSyntaxFault(lineNumber, line, error);
			return undefined;
		}
	}

	#addSyntaxFault(lineNumber: number, line: string, error: LineSyntaxError): void {
		const {column} = error.location.start;
		const rest = line.slice(column - 1).trim();
		// The text may be a key, which must not appear in faults.
		const text = isOrganisationLine(line) ? 'other text' : `"${rest.slice(0, 24)}"`;
		const found = rest === '' ? 'the end of the line' : text;
		if (!line.includes('#')) {
			this.#addFault(lineNumber, line.trimEnd().length + 1, 'the end of the line', 'end the line with a comment that names who asked, such as "# Ivanka Petrova: gate lookups"');
			return;
		}

		const advice = rest.startsWith('#') ? 'name who asked after the "#", such as "# Ivanka Petrova: gate lookups"' : `write ${describeExpected(error)}`;
		this.#addFault(lineNumber, column, found, advice);
	}

	#addRule(lineNumber: number, parsed: ParsedRule): void {
		const rule = this.#buildRule(lineNumber, parsed);
		const key = getRuleKey(rule);
		const earlier = this.#lineByKey.get(key);
		if (earlier !== undefined) {
			this.#addFault(lineNumber, 1, `"${key}"`, `line ${earlier} matches the same requests; keep one of the two lines`);
			return;
		}

		this.#lineByKey.set(key, lineNumber);
		this.#rules.push(rule);
	}

	#buildRule(lineNumber: number, parsed: ParsedRule): Rule {
		const methods = [...new Set(parsed.methods)].toSorted();
		const options = this.#buildOptions(lineNumber, parsed);
		this.#validatePath(lineNumber, parsed.path);
		return {
			methods,
			host: parsed.host,
			path: parsed.path,
			headers: parsed.headers.map(({name, value}) => ({name, value})).toSorted((left, right) => left.name < right.name ? -1 : 1),
			split: this.#buildSplit(lineNumber, parsed),
			idempotent: (options.get('idempotent') as boolean | undefined) ?? (methods.length > 0 && methods.every(method => safeMethods.includes(method))),
			deadline: this.#readNumberOption(lineNumber, parsed, 'deadline', options, maxDeadlineMs) ?? defaultDeadlineMs,
			slots: this.#readNumberOption(lineNumber, parsed, 'slots', options, maxSlots),
			...(options.get('public') === true ? {isPublic: true} : {}),
			prefer: (options.get('prefer') as string | undefined) ?? 'local',
			askedBy: parsed.askedBy,
			reason: parsed.reason,
			since: 0,
		};
	}

	#buildOptions(lineNumber: number, parsed: ParsedRule): Map<string, boolean | number | string> {
		const options = new Map<string, boolean | number | string>();
		for (const option of parsed.options) {
			if (options.has(option.kind)) {
				this.#addFault(lineNumber, option.location.start.column, `a second ${option.kind} option`, 'give each option once');
			}

			options.set(option.kind, option.value);
		}

		return options;
	}

	#readNumberOption(lineNumber: number, parsed: ParsedRule, kind: 'deadline' | 'slots', options: Map<string, boolean | number | string>, limit: number): number | undefined {
		const value = options.get(kind) as number | undefined;
		if (value !== undefined && (value < 1 || value > limit)) {
			const column = parsed.options.find(option => option.kind === kind)?.location.start.column ?? 1;
			this.#addFault(lineNumber, column, `${kind} ${value}`, `write a ${kind} from 1 to ${limit}${kind === 'deadline' ? ' ms' : ''}`);
		}

		return value;
	}

	#validatePath(lineNumber: number, path: string): void {
		const segments = path.split('/').slice(1);
		for (const [index, segment] of segments.entries()) {
			const last = index === segments.length - 1;
			if (segment.includes('*') && segment !== '*' && !(segment === '**' && last)) {
				this.#addFault(lineNumber, 1, `"${path}"`, 'use * for a whole segment, and ** only as the last segment');
			}
		}
	}

	#buildSplit(lineNumber: number, parsed: ParsedRule): Array<{service: string; weight: number}> {
		const {split} = parsed;
		const first = split[0]!;
		if (split.length === 1) {
			if (first.weight !== null && first.weight !== 100) {
				this.#addFault(lineNumber, first.location.start.column, `${first.weight}%`, 'a single service takes 100%: leave the share out or name more services');
			}

			return [{service: first.service, weight: 100}];
		}

		const total = split.reduce((sum, share) => sum + (share.weight ?? 0), 0);
		if (split.some(share => share.weight === null || share.weight === 0) || total !== 100) {
			this.#addFault(lineNumber, first.location.start.column, `shares that add up to ${total}%`, 'give each service a share from 1%, and make them add up to 100%');
		}

		if (new Set(split.map(share => share.service)).size !== split.length) {
			this.#addFault(lineNumber, first.location.start.column, 'one service twice', 'name each service once in a split');
		}

		return split.map(share => ({service: share.service, weight: share.weight ?? 0}));
	}

	#addFault(line: number, column: number, found: string, advice: string): void {
		this.#faults.push({
			file: this.#file, line, column, found, advice,
		});
	}
}

/** Describes what the grammar expected where a syntax error occurred. */
function describeExpected(error: LineSyntaxError): string {
	const names = error.expected?.map(item => describeExpectation(item)).filter(name => name !== undefined) ?? [];
	const unique = [...new Set(names)];
	return unique.length === 0 ? 'nothing more here' : unique.join(', or ');
}

function describeExpectation(item: {type: string; description?: string; text?: string}): string | undefined {
	if (item.description === 'space') {
		return undefined;
	}

	switch (item.type) {
		case 'other': {
			return item.description;
		}

		case 'literal': {
			return `"${item.text ?? ''}"`;
		}

		case 'end': {
			return 'the end of the line';
		}

		default: {
			return undefined;
		}
	}
}
