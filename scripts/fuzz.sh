#!/usr/bin/env bash
# Fuzzes each target with fresh inputs. The test command plays a fixed set; this is run by
# hand before a release. The first argument is how many inputs each target gets.
set -euo pipefail
cd "$(dirname "$0")/.."
executions=${1:-100000}
for file in $(git ls-files '*_test.go'); do
  for target in $(sed -n 's/^func \(Fuzz[A-Za-z]*\)(.*/\1/p' "$file"); do
    go test -run '^$' -fuzz "^${target}\$" -fuzztime "${executions}x" "./$(dirname "$file")"
  done
done
