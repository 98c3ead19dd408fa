#!/usr/bin/env bash
# Builds what the scripts under review/ start besides the programs of the deploy file: target/review-harness, which holds
# the stand-ins (store, workers, callers) and the scenarios.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-harness ./review/harness
