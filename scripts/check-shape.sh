#!/usr/bin/env bash
# Checks the shape of the code: threads start in package duty only, and the
# decisions import no transport, codec, clock or random source.
set -euo pipefail
cd "$(dirname "$0")/.."

bad=0

stray=$(grep -rnE '(^|[^[:alnum:]_"])go (func\b|[[:alnum:]_.]+\()' --include='*.go' . \
  | grep -vE '^\./duty/|_test\.go:|^[^:]+:[0-9]+:[[:space:]]*//' || true)
if [ -n "$stray" ]; then
  echo "threads started outside package duty:"
  echo "$stray"
  bad=1
fi

groups=$(grep -rln 'golang.org/x/sync/errgroup' --include='*.go' . | grep -vE '^\./duty/|_test\.go$' || true)
if [ -n "$groups" ]; then
  echo "errgroup used outside package duty:"
  echo "$groups"
  bad=1
fi

forbidden='^(net|net/.*|encoding/.*|math/rand.*|crypto/rand|os|github.com/sirupsen/.*|github.com/hornbeamworks/hornbeam/clock)$'
for package in $(go list ./policy/... ./planner); do
  found=$(go list -f '{{join .Imports "\n"}}' "$package" | grep -E "$forbidden" || true)
  if [ -n "$found" ]; then
    echo "$package imports what decisions must not: $found"
    bad=1
  fi
done

# Only the program that puts a node together, and tests, know the platform.
users=$(grep -rln 'hornbeam/platform"' --include='*.go' . | grep -vE '_test\.go$|^\./cmd/hornbeam-node/' || true)
if [ -n "$users" ]; then
  echo "the platform's names outside platform/:"
  echo "$users"
  bad=1
fi

exit "$bad"
