#!/usr/bin/env bash
# Plays the sites in scripts/regress.marks on the users' bench and compares the mean worth
# of each site's standard days with its mark. FLEETBENCH is the bench, SITES the folder of
# the site files. Exits 1 if a gate fails or a mean is below its mark by more than 0.03.
set -euo pipefail
cd "$(dirname "$0")/.."

bench=${FLEETBENCH:?the path of the bench}
sites=${SITES:?the folder of the site files}
bad=0
while read -r site mark; do
  case "$site" in ''|'#'*) continue ;; esac
  out=$("$bench" score "$sites/$site" --why "regression run") || true
  mean=$(awk '/^(quiet|trouble|scale)-[0-9]+ / { sum += $4; n++ } END { if (n) printf "%.3f", sum / n; else print "0" }' <<<"$out")
  gate=$(grep -m1 '^GATE' <<<"$out" || echo "GATE not reached")
  echo "$site: mean worth $mean, mark $mark, $gate"
  if ! grep -q '^GATE passed' <<<"$out" || awk -v a="$mean" -v b="$mark" 'BEGIN { exit !(a < b - 0.03) }'; then
    bad=1
  fi
done <scripts/regress.marks
exit "$bad"
