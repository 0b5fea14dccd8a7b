/** Reads and validates the settings of a node. */
import {readFile} from 'node:fs/promises';
import {Ajv, type ErrorObject} from 'ajv';
import {describeError} from '@ebonylead/base/errors.js';
import {type LogLevel} from '@ebonylead/base/logs.js';
import {Left, Right, type Either} from 'purify-ts';
import schema from './settings.schema.json' with {type: 'json'};

/** The settings of a node, as `settings.schema.json` describes them. */
export type Settings = {
	readonly deployment: string;
	readonly node: {
		readonly id: string;
		readonly host: string;
		readonly listenHost?: string;
		readonly dataCentre: string;
		readonly region: string;
	};
	readonly listeners: {
		readonly callers: number;
		readonly mesh: number;
		readonly peers: number;
		readonly operators: number;
		readonly announcements: number;
	};
	readonly platform: {
		readonly url: string;

		/** Timeout of one operation in milliseconds. */
		readonly timeout: number;
	};

	/** Seeds to join through while the platform is unavailable. */
	readonly peers: ReadonlyArray<{readonly host: string; readonly peerPort: number}>;

	/** What the distribution of versions is tuned for: fast convergence or few bytes. */
	readonly spreading: 'convergence' | 'bytes';

	/** Whether calls to the upstream of the node's own VM stay in the process, and are preferred. */
	readonly localAttempts: boolean;

	/** Required share of good calls per service. */
	readonly objectives: Readonly<Record<string, number>>;

	/** Timeout for the calls in flight of a stopping node, in milliseconds. */
	readonly stopTimeout: number;
	readonly logLevel: LogLevel;
};

/** Reads and validates a settings file; returns the settings, or one message per fault. */
export async function readSettings(file: string): Promise<Either<string[], Settings>> {
	let value: unknown;
	try {
		value = JSON.parse(await readFile(file, 'utf8'));
	} catch (error) {
		return Left([`${file} can not be read as JSON: ${describeError(error)}`]);
	}

	return validateSettings(value).mapLeft(faults => faults.map(fault => `${file}: ${fault}`));
}

/** Validates settings and fills in the defaults; returns the settings, or one message per fault. */
export function validateSettings(value: unknown): Either<string[], Settings> {
	const validate = new Ajv({allErrors: true, useDefaults: true, verbose: true}).compile<Settings>(schema);
	if (!validate(value)) {
		return Left((validate.errors ?? []).map(error => describeFault(error)));
	}

	const ports = Object.entries(value.listeners);
	const duplicates = ports.filter(([, port], index) => ports.findIndex(([, other]) => other === port) !== index);
	return duplicates.length > 0
		? Left(duplicates.map(([name, port]) => `listeners.${name}: port ${port} is used by two listeners; give each its own`))
		: Right(value);
}

function describeFault(error: ErrorObject): string {
	const path = error.instancePath.slice(1).replaceAll('/', '.') || 'the settings';
	const parameters = error.params as Record<string, unknown>;
	switch (error.keyword) {
		case 'additionalProperties': {
			const knownKeys = Object.keys((error.parentSchema as {properties?: object}).properties ?? {});
			return `${path}: key "${String(parameters.additionalProperty)}" is not known; known keys are ${knownKeys.join(', ')}`;
		}

		case 'required': {
			return `${path}: key "${String(parameters.missingProperty)}" is missing`;
		}

		case 'enum': {
			return `${path}: ${JSON.stringify(error.data)} is not allowed; write one of ${(parameters.allowedValues as string[]).map(allowed => `"${allowed}"`).join(', ')}`;
		}

		default: {
			return `${path}: ${JSON.stringify(error.data)} ${error.message ?? 'is not allowed'}`;
		}
	}
}
