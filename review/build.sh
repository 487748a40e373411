#!/usr/bin/env bash
# Builds the stand-ins of the scripts. It uses only the standard library.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-standin .
