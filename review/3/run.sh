#!/usr/bin/env bash
# Exits with 1 if an acknowledged commit was lost, 0 if none was, 2 if the case could not run.
# TROUBLE=0 is the control run: without the cuts; the primaries are replaced as planned. It must exit with 0.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
exec timeout --signal=KILL 120 review/bin/standin.test -case 3 -trouble="$trouble" -record review/3/record.txt
