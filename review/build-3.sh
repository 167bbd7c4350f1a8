#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac --release 17 -Xlint:all -d target/review-3 review/rig-3/*.java
