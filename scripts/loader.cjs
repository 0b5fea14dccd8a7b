// The loader of the program for the users' platform: compiles it with the code cache that the build has written.
'use strict';
const {readFileSync} = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

const programPath = path.join(__dirname, 'program.cjs');

/** Reads the code cache; without one, all of the program is compiled as before. */
function readCodeCache() {
	try {
		return readFileSync(path.join(__dirname, 'program.cache'));
	} catch (error) {
		process.stderr.write(`[loader] No code cache, so that the start takes longer: ${error.message}\n`);
		return undefined;
	}
}

// The program is ASCII, which is read faster as such. The wrapper is that of CommonJS modules.
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(programPath, 'latin1')}\n})`;
const script = new Script(source, {filename: programPath, cachedData: readCodeCache()});
if (script.cachedDataRejected) {
	process.stderr.write('[loader] The code cache is of another version or other arguments of Node, so that the start takes longer\n');
}

script.runInThisContext()(exports, require, module, programPath, __dirname);
