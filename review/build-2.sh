#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. It needs only Go, and no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOWORK=off GOFLAGS= go build -o ../../target/review-standin-2 .
