#!/usr/bin/env bash
# Runs a complete deployment under load while an operator takes a failure domain
# out and brings it back, then measures and audits the run.
# Usage: scripts/takeout.sh [consortium|zarqa] [RATE]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/processes.sh

deployment=${1:-consortium}
rate=${2:-1}
folder=out/takeout/$deployment
base_port=${BASE_PORT:-7300}
platform=http://127.0.0.1:$base_port

rm -rf "$folder"
trap 'stop_all' EXIT
trap 'exit 130' INT TERM
bin/hornbeamctl layout --deployment "deploy/$deployment.ini" --folder "$folder" --base-port "$base_port"
start_all "$folder"
gates=()
while read -r gate; do gates+=(--gate "$gate"); done <"$folder/gates"
pages=()
for admin in "${admins[@]}"; do pages+=(--admin "$admin"); done

operator=(bin/hornbeamctl "${gates[@]}" --key-file "$folder/keys/operator" domain)
(
  sleep 5
  "${operator[@]}" out --wait fd1
  sleep 7
  "${operator[@]}" in --wait fd1
) >"$folder/operators.log" 2>&1 &
operators=$!

bin/hornbeam-standin snapshot --platform "$platform" "${pages[@]}" --file "$folder/before.json"
failed=0
bin/hornbeam-load --workload "workloads/$deployment.ini" --keys "$folder/secrets.ini" "${gates[@]}" \
  --rate "$rate" --duration 20s --records "$folder/answers.jsonl" --plot "$folder/waiting.svg" || failed=$?
wait "$operators" || failed=$?
echo
cat "$folder/operators.log"
bin/hornbeam-standin measure --platform "$platform" "${pages[@]}" --since "$folder/before.json" \
  --answers "$folder/answers.jsonl" --deployment "deploy/$deployment.ini"
echo
bin/hornbeam-standin audit --records "$platform/records" --answers "$folder/answers.jsonl" || failed=$?
exit "$failed"
