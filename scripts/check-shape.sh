#!/usr/bin/env bash
# Checks the structure of the code: goroutines are started in package duty only,
# the decision packages import no transport, codec, clock or random source, and
# only cmd/hornbeam-node imports the platform adapter.
set -euo pipefail
cd "$(dirname "$0")/.."

bad=0

stray=$(grep -rnE '(^|[^[:alnum:]_"])go (func\b|[[:alnum:]_.]+\()' --include='*.go' . \
  | grep -vE '^\./duty/|_test\.go:|^[^:]+:[0-9]+:[[:space:]]*//' || true)
if [ -n "$stray" ]; then
  echo "goroutines started outside package duty:"
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
for package in $(go list ./policy/... ./planner ./admission ./estimate ./httpserve/limit); do
  found=$(go list -f '{{join .Imports "\n"}}' "$package" | grep -E "$forbidden" || true)
  if [ -n "$found" ]; then
    echo "$package must not import: $found"
    bad=1
  fi
done

# Only hornbeam-node, which builds the node, and tests may import package platform.
users=$(grep -rln 'hornbeam/platform"' --include='*.go' . | grep -vE '_test\.go$|^\./cmd/hornbeam-node/' || true)
if [ -n "$users" ]; then
  echo "package platform imported outside cmd/hornbeam-node:"
  echo "$users"
  bad=1
fi

exit "$bad"
