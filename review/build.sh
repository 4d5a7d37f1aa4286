#!/usr/bin/env bash
# Builds the project's programs as deploy/system.toml does, and the stand-ins of the scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
(cd review/standin && go build -o ../../target/review-standin .)
