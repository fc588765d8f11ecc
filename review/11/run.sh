#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-3 ] && [ -x target/marigold-node ] || exit 2
REVIEW_CASE=$(basename "$here") REVIEW_RECORD="$here/record.txt" REVIEW_PROGRAM=target/marigold-node TROUBLE=${TROUBLE:-1} exec target/review-3
