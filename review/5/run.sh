#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 has the higher limit from the beginning.
cd "$(dirname "$0")/../.." || exit 2
program=target/packages/daemon/dogwoodhalld
standin=target/review/KeptLimits
[ -x "$program" ] && [ -x "$standin" ] || { echo "run the build of deploy/system.toml and review/build.sh first" >&2; exit 2; }
exec timeout --kill-after=5 110 "$standin" "$program" review/5/record.txt
