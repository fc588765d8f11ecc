#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go test -c -tags review -o review/bin/standin.test ./review/standin
