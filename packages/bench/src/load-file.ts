/** Reads a load from a JSON file. */
import {type CallClass, type EmulatedLoad, type EmulatedService} from '@ebonylead/stand-ins/load-emulator.js';
import {Left, Right, type Either} from 'purify-ts';

const serviceFields = ['slots'] as const;
const classFields = ['rank', 'rate', 'work', 'objective', 'deadline', 'returns'] as const;

/** Decodes a load, or says which field is wrong. */
export function decodeLoad(text: string): Either<string, EmulatedLoad> {
	let load: EmulatedLoad;
	try {
		load = JSON.parse(text) as EmulatedLoad;
	} catch (error) {
		return Left(`the load is not JSON: ${(error as Error).message}`);
	}

	const fault = findFault(load);
	return fault === undefined ? Right(load) : Left(fault);
}

function findFault(load: EmulatedLoad): string | undefined {
	if (!isPositive(load.duration) || !isList(load.services) || !isList(load.classes)) {
		return 'the load needs "duration" above 0, a list "services" and a list "classes"';
	}

	const services = new Set(load.services.map(service => service.name));
	const classes = new Set(load.classes.map(played => played.name));
	return load.services.map(service => findServiceFault(service)).find(fault => fault !== undefined)
		?? load.classes.map(played => findClassFault(played, services, classes)).find(fault => fault !== undefined);
}

function findServiceFault(service: EmulatedService): string | undefined {
	if (typeof service.name !== 'string' || !isList(service.speeds) || service.speeds.length === 0 || !service.speeds.every(speed => isPositive(speed))) {
		return `service ${JSON.stringify(service.name)} needs a name and a list "speeds" of numbers above 0`;
	}

	return findNumberFault(`service "${service.name}"`, service, serviceFields);
}

function findClassFault(played: CallClass, services: ReadonlySet<string>, classes: ReadonlySet<string>): string | undefined {
	if (!services.has(played.service)) {
		return `class "${played.name}" names service "${played.service}", which is not in the load`;
	}

	const unknown = isList(played.calls) ? played.calls.find(name => !classes.has(name)) : '';
	return unknown === undefined
		? findNumberFault(`class "${played.name}"`, played, classFields)
		: `class "${played.name}" calls class "${unknown}", which is not in the load`;
}

function findNumberFault<Field extends string>(owner: string, values: Readonly<Partial<Record<Field, unknown>>>, fields: readonly Field[]): string | undefined {
	const field = fields.find(name => typeof values[name] !== 'number' || !(values[name] >= 0));
	return field && `${owner} needs a number "${field}" of 0 or more`;
}

/** As `Array.isArray`, but the type of a list that is there is kept. */
function isList(value: unknown): boolean {
	return Array.isArray(value);
}

function isPositive(value: unknown): boolean {
	return typeof value === 'number' && value > 0;
}
