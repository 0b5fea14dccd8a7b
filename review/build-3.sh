#!/bin/sh
# Builds the stand-ins of review/lib-3: they are plain JavaScript that Node runs as it is, without packages, so that only their syntax is checked.
cd "$(dirname "$0")" || exit 1
for file in lib-3/*.js 1[1-5]/*.js; do
	node --check "$file" || exit 1
done
