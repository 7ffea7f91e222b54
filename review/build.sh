#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/.bin. The build of deploy/system.toml
# comes first: it puts the program into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o review/.bin/standin ./review/standin
