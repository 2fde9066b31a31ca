#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p .bin
out=$PWD/.bin/stand2
cd review/stand2
GOWORK=off GOFLAGS=-mod=mod go test -c -o "$out" .
