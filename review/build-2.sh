#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10. It needs no network beyond the modules
# that the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/stand2 ./review/stand2
