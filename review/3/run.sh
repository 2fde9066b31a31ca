#!/usr/bin/env bash
# Plays the case of claim.txt. TROUBLE=0 leaves the disruption out.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
timeout 118 review/.bin/stage gone review/3/record.txt
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
