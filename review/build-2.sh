#!/usr/bin/env bash
# Checks the stand-ins of review/lib-2, which the scripts of review/6 to review/10 start. They are plain JavaScript without
# dependencies, so that there is nothing to compile: Node 20 and target/ebonylead.cjs, the build of the deploy file, are enough.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.js review/{6,7,8,9,10}/run.js; do
	if [ -e "$file" ]; then
		node --check "$file"
	fi
done
test -e target/ebonylead.cjs || { echo 'target/ebonylead.cjs is missing: run the build of the deploy file first' >&2; exit 1; }
