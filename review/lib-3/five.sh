#!/bin/sh
# Runs a case five times, and once without the disruption; prints the exit codes.
cd "$(dirname "$0")/.." || exit 1
codes=""
for _ in 1 2 3 4 5; do
	"$1/run.sh" >> "${TMPDIR:-/tmp}/review-3-$1.txt"
	codes="$codes $?"
done
TROUBLE=0 "$1/run.sh" >> "${TMPDIR:-/tmp}/review-3-$1.txt"
echo "case $1: with the disruption$codes; without $?"
