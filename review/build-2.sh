#!/bin/sh
# Builds the stand-ins of the cases from 6 on, the project's own agent and stand-in for etcd among them. Run it from anywhere.
set -e
here=$(cd "$(dirname "$0")" && pwd)
(cd "$here/standins-2" && mkdir -p bin && GOWORK=off go build -buildvcs=false -o bin/ .)
(cd "$here/.." && CGO_ENABLED=1 go build -buildvcs=false -o review/standins-2/bin/ ./cmd/membershipagent)
