#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x target/marigold-node && test -x target/review-2.test || exit 2
REVIEW_CASE=open_transaction REVIEW_NODE=target/marigold-node REVIEW_RECORD=review/7/record.txt exec target/review-2.test
