#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, which the project's own programs are met with.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -Xlint:all -Werror -d target/review-2 review/rig-2/*.java
