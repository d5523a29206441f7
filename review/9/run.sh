#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -x "$root/target/gooseberrytided" ] && [ -x ../bin/drive2 ] || { echo "build first: the build of deploy/system.toml, review/build-2.sh"; exit 2; }
DRIVE2=slow-readers-at-a-stop TROUBLE="${TROUBLE:-1}" ROUTER="$root/target/gooseberrytided" RECORD="$PWD/record.txt" exec ../bin/drive2
