#!/usr/bin/env bash
exec "$(dirname "$0")/../rig-3/run-case.sh" LongLineCase review/15
