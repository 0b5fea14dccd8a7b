// Writes the code cache of the program below target/. Run with the arguments of Node that the program is deployed with, as V8 rejects the cache with others.
'use strict';
const {readFileSync, writeFileSync} = require('node:fs');
const path = require('node:path');
const {setFlagsFromString} = require('node:v8');
const {Script} = require('node:vm');

const programPath = path.resolve('target/program.cjs');
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(programPath, 'latin1')}\n})`;
// All functions are compiled, also those that only a call runs. The flag is reset, as it is part of what V8 compares.
setFlagsFromString('--no-lazy');
const script = new Script(source, {filename: programPath});
setFlagsFromString('--lazy');
writeFileSync('target/program.cache', script.createCachedData());
