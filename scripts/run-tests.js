/**
 * Runs ava, and ends with the line `N passed, N failed`. Tests that KNOWN-RED.txt
 * lists may fail: they are printed, but not counted as failed. A run in which no
 * test passed, or that ended with an error but no failed test, counts as failed.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';

const knownFailures = existsSync('KNOWN-RED.txt')
	? readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim())
	: [];
const run = spawnSync('node_modules/.bin/ava', ['--tap', ...process.argv.slice(2)], {encoding: 'utf8', maxBuffer: 64 * 1024 * 1024});
process.stdout.write(run.stdout);
process.stderr.write(run.stderr);

const lines = run.stdout.split('\n');
const readTitle = line => line.replace(/^(?:not )?ok \d+ - /v, '').replace(/^.*?_test › /v, '');
const passed = lines.filter(line => /^ok \d+ - /v.test(line)).length;
const failed = lines.filter(line => /^not ok \d+ - /v.test(line)).map(line => readTitle(line));
const known = failed.filter(title => knownFailures.includes(title));
for (const title of known) {
	process.stdout.write(`known red, passed over: ${title}\n`);
}

const failedCount = failed.length - known.length;
const isIncompleteRun = passed === 0 || (run.status !== 0 && failed.length === 0);
process.stdout.write(`${passed} passed, ${isIncompleteRun ? Math.max(1, failedCount) : failedCount} failed\n`);
process.exitCode = failedCount > 0 || isIncompleteRun ? 1 : 0;
