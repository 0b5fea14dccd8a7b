/** Loggers with a fixed prefix for each part of a process. */
import {pino, type Logger as PinoLogger} from 'pino';

/** The log levels that the settings accept. */
export const logLevels = ['debug', 'info', 'warn', 'error', 'silent'] as const;

/** One of the log levels. */
export type LogLevel = typeof logLevels[number];

/** The logger type that the packages take. */
export type Logger = PinoLogger;

/** Creates the root logger of a process, which writes JSON lines to standard output; the bindings become fields of every line. */
export function createLogger(level: LogLevel, bindings: Record<string, string> = {}): Logger {
	return pino({level, base: bindings, timestamp: pino.stdTimeFunctions.isoTime});
}

/** Creates a logger whose messages all start with `[part]`. */
export function createPartLogger(root: Logger, part: string): Logger {
	return root.child({}, {msgPrefix: `[${part}] `});
}
