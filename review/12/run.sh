#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
set -u
cd "$(dirname "$0")/../.."
if [ ! -x target/jujubestiled ] || [ ! -x target/rig-3 ]; then
	echo "run the build of deploy/system.toml and review/build-3.sh first"
	exit 2
fi
TROUBLE="${TROUBLE:-1}" timeout -k 2 118 target/rig-3 lost-state review/12/record.txt
code=$?
[ $code -le 1 ] || code=2
exit $code
