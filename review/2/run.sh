#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wasabiworks ] && [ -x target/review/rig ] || { echo "build the deploy file and run review/build.sh first"; exit 2; }
exec target/review/rig last review/2/record.txt
