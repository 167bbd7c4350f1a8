#!/usr/bin/env bash
# An engine falls silent for good, and an engine of another service gets its address.
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx128m -cp target/review-2 ReusedAddress review/6
