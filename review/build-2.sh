#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 and later start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-2/standin2 .
