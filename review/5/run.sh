#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Build the system and review/build.sh first.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/jujubestiled ] && [ -x target/review/play ] || exit 2
exec target/review/play leave review/5
