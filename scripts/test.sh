#!/usr/bin/env bash
# The project's test command: formatting, vet, staticcheck, and every test.
# Tests listed in KNOWN-RED.txt (first word of each line) are skipped by name
# and printed; nothing else is.
set -euo pipefail
cd "$(dirname "$0")/.."
bad=$(gofmt -l $(git ls-files '*.go' 2>/dev/null || find . -name '*.go'))
if [ -n "$bad" ]; then echo "gofmt would change: $bad"; exit 1; fi
go vet ./...
go run honnef.co/go/tools/cmd/staticcheck@v0.8.2 ./...
skip=""
if [ -s KNOWN-RED.txt ]; then
  echo "known red (skipped):"; sed 's/^/  /' KNOWN-RED.txt
  skip=$(awk '{print $1}' KNOWN-RED.txt | paste -sd'|' -)
fi
if [ -n "$skip" ]; then
  go test -count=1 -skip "^(${skip})\$" ./...
else
  go test -count=1 ./...
fi
