#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/drill ] && [ -x target/cornelhold-edge ] || exit 2
exec target/review/drill --case rollout --trouble "${TROUBLE:-1}" --record review/15/record.txt
