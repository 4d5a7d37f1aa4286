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

# A short run of each fuzz target; their seeds are among the tests above.
fuzz_executions=20000
for file in $(git ls-files '*_test.go' 2>/dev/null || find . -name '*_test.go'); do
  for target in $(sed -n 's/^func \(Fuzz[A-Za-z]*\)(.*/\1/p' "$file"); do
    go test -run '^$' -fuzz "^${target}\$" -fuzztime "${fuzz_executions}x" "./$(dirname "$file")"
  done
done
