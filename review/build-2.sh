#!/bin/sh
# Builds the programs that the scripts of the second review start, besides those of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/ ./review/second/standin/history ./review/second/standin/lease
