#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/standin3 .
