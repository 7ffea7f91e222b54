#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/.bin/standin ] && [ -x target/cornelhold-edge ] || { echo "build deploy/system.toml and run review/build.sh first"; exit 2; }
exec review/.bin/standin crashing review/3/record.txt
