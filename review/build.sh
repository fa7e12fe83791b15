#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/platform"
GOFLAGS=-buildvcs=false go build -o ../../target/review-standin .
