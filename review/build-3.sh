#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15 into target/review3. The daemon is
# built as deploy/system.toml tells.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review3
out=$PWD/target/review3/third
cd review/third/platform
go build -o "$out" .
