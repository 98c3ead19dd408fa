#!/usr/bin/env bash
# Builds what the scripts of the third review start besides the daemon of the deploy file: one program with the stand-ins of the
# platform's store, of workers and of consumers.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/rig3
