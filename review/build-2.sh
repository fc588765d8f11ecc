#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/.
set -eu
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-2.test ./review/standin-2
