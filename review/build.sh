#!/usr/bin/env bash
# Builds the program that plays the cases: stand-ins of the store, replicas and clients. The
# project's stand-in of the store is built into it.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o review/.bin/stage ./review/stage
