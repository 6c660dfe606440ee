#!/usr/bin/env bash
# Runs a complete deployment on loopback under its workload, then measures and
# audits the run.
# Usage: scripts/demo.sh [consortium|zarqa] [DURATION]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/processes.sh

deployment=${1:-consortium}
duration=${2:-10s}
folder=out/demo/$deployment
base_port=${BASE_PORT:-7100}
platform=http://127.0.0.1:$base_port

rm -rf "$folder"
trap 'stop_all' EXIT
trap 'exit 130' INT TERM

bin/hornbeamctl layout --deployment "deploy/$deployment.ini" --folder "$folder" --base-port "$base_port"
echo "starting $(wc -l <"$folder/processes") processes of $deployment"
start_all "$folder"

gates=()
while read -r gate; do gates+=(--gate "$gate"); done <"$folder/gates"
pages=()
for admin in "${admins[@]}"; do pages+=(--admin "$admin"); done

bin/hornbeam-standin snapshot --platform "$platform" "${pages[@]}" --file "$folder/before.json"
failed=0
bin/hornbeam-load --workload "workloads/$deployment.ini" --keys "$folder/secrets.ini" "${gates[@]}" \
  --duration "$duration" --records "$folder/answers.jsonl" --plot "$folder/waiting.svg" || failed=$?
echo
bin/hornbeam-standin measure --platform "$platform" "${pages[@]}" --since "$folder/before.json" \
  --answers "$folder/answers.jsonl" --deployment "deploy/$deployment.ini"
echo
bin/hornbeam-standin audit --records "$platform/records" --answers "$folder/answers.jsonl" || failed=$?
exit "$failed"
