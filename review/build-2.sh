#!/bin/sh
# Builds the stand-ins of the cases from 6 on. They use Go's standard library alone, so no network is needed.
set -e
cd "$(dirname "$0")/standins-2"
mkdir -p bin
GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o bin/ .
