#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; KEEP_LOGS=1 keeps the logs of the instances.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/baobabquayd ] && [ -x target/review-standin ] || { echo "build first: see review/REPORT.md" >&2; exit 2; }
exec target/review-standin stalled review/5
