#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, next to the program that
# the build line of deploy/system.toml makes.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review2 -o target/review-scenario2 ./review/scenario2
