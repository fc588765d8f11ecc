#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/review-3 ./review/standin-3
