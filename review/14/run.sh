#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
node case.js &
child=$!
trap 'kill -TERM $child 2> /dev/null' TERM INT HUP
wait $child
code=$?
# A signal ends the wait before the child has ended.
while kill -0 $child 2> /dev/null; do
	wait $child
	code=$?
done
case $code in
	0) exit 0 ;;
	10) exit 1 ;;
	*) exit 2 ;;
esac
