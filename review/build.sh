#!/usr/bin/env bash
# Builds the stand-ins and the cases that the scripts start, into review/target.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/rig
javac -d target/rig rig/*.java
for source in [1-5]/Case.java; do
  folder=target/case-${source%%/*}
  mkdir -p "$folder"
  javac -cp target/rig -d "$folder" "$source"
done
