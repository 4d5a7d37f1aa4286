#!/usr/bin/env bash
# Runs every fuzz target with new random inputs. It is run manually before a release; the test
# command only runs a fixed set of inputs. The first argument is the number of inputs for each
# target (default 100000).
set -euo pipefail
cd "$(dirname "$0")/.."
executions=${1:-100000}
for file in $(git ls-files '*_test.go'); do
  for target in $(sed -n 's/^func \(Fuzz[A-Za-z]*\)(.*/\1/p' "$file"); do
    go test -run '^$' -fuzz "^${target}\$" -fuzztime "${executions}x" "./$(dirname "$file")"
  done
done
