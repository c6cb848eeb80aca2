#!/usr/bin/env bash
# Builds the stand-ins of the cases, to target/review/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/world"
go build -o ../../target/review/world .
