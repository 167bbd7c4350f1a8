#!/usr/bin/env bash
# Case 15; see claim.txt. With TROUBLE=0 the disruption is left out, and the case must pass.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../rig-3/run-case.sh" LongLineCase review/15
