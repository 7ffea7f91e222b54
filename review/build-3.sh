#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review into target/. It needs no network once the
# build of the deploy file has run.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/ ./review/third/standin/...
