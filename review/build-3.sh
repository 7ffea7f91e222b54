#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review, besides the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/third/standin/...
