#!/usr/bin/env bash
# Exits with 1 if an acknowledged commit was lost, 0 if none was, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec timeout --signal=KILL 120 review/bin/standin.test -case 4 -record review/4/record.txt
