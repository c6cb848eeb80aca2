#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start beside the program of the deploy file: the stand-ins of review/world2,
# which need no module beside Go's own library.
set -euo pipefail
cd "$(dirname "$0")/world2"
mkdir -p ../../target/review-2
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-2/world2 .
