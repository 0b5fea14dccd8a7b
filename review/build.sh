#!/bin/sh
# Builds what the scripts of the cases start beside the program of the deploy file. The stand-ins are plain JavaScript for Node 20 and need no build; they are checked here.
set -e
cd "$(dirname "$0")/.."
for file in review/lib/*.js review/[1-5]/*.js; do
	node --check "$file"
done
