#!/usr/bin/env bash
# Runs all tests. Tests listed in KNOWN-RED.txt (first field of each line) are
# skipped here and printed by .ci/run.
set -euo pipefail
cd "$(dirname "$0")"
skip=()
if [ -s KNOWN-RED.txt ]; then
	names=$(grep -v '^#' KNOWN-RED.txt | awk -F'|' 'NF>1 {gsub(/ /,"",$1); print $1}' | paste -sd'|')
	if [ -n "$names" ]; then skip=(-skip "^($names)\$"); fi
fi
go test -count=1 -timeout 20m "${skip[@]}" ./...

# All parts together, under the race detector.
go test -count=1 -race -run TestDemo ./internal/demo
