#!/bin/sh
# Builds the stand-ins of the scripts of review 3. The build line of deploy/system.toml comes
# first.
set -e
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review3/scenario3 ./review/scenario3
