#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/review/.
# The module has no dependencies, so no network is needed.
set -euo pipefail
cd "$(dirname "$0")/play"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review/play .
