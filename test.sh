#!/usr/bin/env bash
# The project's test command: format, vet, lint, build, tests.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -l policy internal cmd ./*.go)
if [ -n "$unformatted" ]; then
  echo "gofmt needed: $unformatted"
  exit 1
fi
go vet ./...
# The linter and its version are declared in tools/go.mod, its rules in .golangci.yml.
go tool -modfile=tools/go.mod golangci-lint run --allow-parallel-runners ./...

build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$build" ] || { echo "no build command in deploy/balancer.toml"; exit 1; }
go build -o bin/ ./cmd/...
bash -c "$build" # last, so that what tests and people run from bin/ is what the platform runs
run=$(sed -n 's/^run = "exec \(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$run" ] || { echo "run in deploy/balancer.toml does not end by exec"; exit 1; }
readelf -l "$run" | grep -q INTERP || { echo "$run is not linked dynamically"; exit 1; }
for file in $(sed -n 's/^\(policy\|node\) = \[\(.*\)\]$/\2/p' deploy/balancer.toml | tr -d '",'); do
  [ -e "$file" ] || { echo "deploy/balancer.toml names $file, which does not exist"; exit 1; }
done

for file in $(sed -n 's/^policy = \[\(.*\)\]$/\1/p' deploy/balancer.toml | tr -d '",'); do
  long=$(awk '{ gsub(/\t/, " ") } length($0) > 110 { print NR }' "$file")
  [ -z "$long" ] || { echo "$file: over 110 characters in lines" $long; exit 1; }
done

# KNOWN-RED.txt lists tests that fail for a real fault which is not mended yet, one a line:
#   TestName: command and seed; what was seen; issue N
# All others must pass; the listed ones are run apart and printed.
known_red=
if [ -f KNOWN-RED.txt ]; then
  known_red=$(sed -n 's/^\([A-Za-z0-9_]*\):.*/\1/p' KNOWN-RED.txt | paste -sd'|')
fi
go test -race -count=1 ${known_red:+-skip "^($known_red)\$"} ./...
if [ -n "$known_red" ]; then
  echo "known to fail:"
  cat KNOWN-RED.txt
  go test -race -count=1 -run "^($known_red)\$" ./... | grep -v 'no tests to run\|no test files' || true
fi
# Without fencing the same schedules must show breaches.
go test -tags unfenced -count=1 -run Unfenced ./internal/testbed/simulation
