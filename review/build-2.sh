#!/usr/bin/env bash
# Builds the stand-ins and the driver of the second review's scripts, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -ldflags=-linkmode=external -o target/review-2/harness2 ./review/harness2
