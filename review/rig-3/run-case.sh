#!/usr/bin/env bash
# Usage: run-case.sh CLASS FOLDER
# Runs a case by its class and writes the record to its folder.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
classes=target/review-3
if [ ! -f "$classes/$1.class" ] || [ ! -f target/gentian-platform.jar ]; then
  echo "build the deploy file and run review/build-3.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 115 java -Djava.io.tmpdir="$folder" -cp "$classes" "$1" . "$2/record.txt"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
