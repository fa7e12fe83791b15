#!/bin/bash
# Builds the stand-ins that the scripts of the second review start.
set -e
cd "$(dirname "$0")/second/platform"
go build -o ../../../target/review-second .
