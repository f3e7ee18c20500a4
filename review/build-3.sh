#!/usr/bin/env bash
# Builds the stand-ins that the script cases 11 to 15 start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/rig-3 ./review/rig-3
