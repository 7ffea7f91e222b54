#!/bin/sh
# Restarts the holder of the duties and its successor in turn, and kills the first one while it drains.
# TROUBLE=0 leaves out the kill. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
# run. Takes 30 to 60 s.
cd "$(dirname "$0")/../.." || exit 2
for program in target/cornelhold-edge target/review/lease; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: build the deploy file and run review/build-2.sh"
		exit 2
	fi
done
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
	trouble=false
fi
exec target/review/lease --program target/cornelhold-edge --record review/8/record.txt --trouble="$trouble"
