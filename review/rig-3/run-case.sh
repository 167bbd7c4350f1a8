#!/usr/bin/env bash
# Usage: run-case.sh CLASS FOLDER
# Runs a case by its class and writes the record to its folder. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. The case ends
# with this script, also if this is killed, and its instances end with the case.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
classes=target/review-3
if [ ! -f "$classes/$1.class" ] || [ ! -f target/gentian-platform.jar ]; then
  echo "build the deploy file and run review/build-3.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
java -Djava.io.tmpdir="$folder" -cp "$classes" "$1" . "$2/record.txt" &
case_id=$!
# Ends the case by its id once this script is gone, or after 115 s.
setsid sh -c 'n=0
while kill -0 "$1" 2>/dev/null && kill -0 "$2" 2>/dev/null && [ $n -lt 575 ]; do
  sleep 0.2
  n=$((n + 1))
done
kill -9 "$2" 2>/dev/null
sleep 1
rm -rf "$3"' watch $$ "$case_id" "$folder" > /dev/null 2>&1 &
trap 'exit 2' TERM INT HUP
wait "$case_id"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
