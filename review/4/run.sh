#!/usr/bin/env bash
# Plays case 4 after the build of deploy/system.toml and review/build.sh. It writes
# record.txt beside this file. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
record=review/4/record.txt
echo "case 4 begins" >"$record" || exit 2
for program in target/hornbeam-node target/scenario; do
  if [ ! -x "$program" ]; then
    echo "the case could not run: $program has not been built" | tee -a "$record"
    exit 2
  fi
done
exec target/scenario stale "$record"
