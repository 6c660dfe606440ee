#!/usr/bin/env bash
# Measures the resource usage of the control plane of complete deployments, each
# run with new processes: at increasing request rates, numbers of endpoints and
# numbers of failure domains. Writes one JSON line of figures for each run to
# out/capacity/*.jsonl.
# Usage: scripts/capacity.sh
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/processes.sh

base_port=${BASE_PORT:-7600}
platform=http://127.0.0.1:$base_port
out=out/capacity
rm -rf "$out"
mkdir -p "$out"
trap 'stop_all' EXIT
trap 'exit 130' INT TERM

# write_deployment FILE DOMAINS WORKERS: writes a deployment with two entry
# instances in each failure domain and WORKERS endpoints.
write_deployment() {
  local names
  names=$(seq -f 'fd%g' -s ', ' "$2")
  sed -e "s/^domains .*/domains = $names/" -e "s/^entry_instances .*/entry_instances = $((2 * $2))/" \
    -e "s/^count .*/count = $3/" deploy/consortium.ini >"$1"
}

# measure_run SERIES NAME DOMAINS WORKERS RATE: runs a deployment under
# load for ten seconds and appends its figures to SERIES.jsonl.
measure_run() {
  local series=$1 folder=$out/$2 gate admin gates=() pages=()
  mkdir -p "$folder"
  write_deployment "$folder/deployment.ini" "$3" "$4"
  admins=()
  bin/hornbeamctl layout --deployment "$folder/deployment.ini" --folder "$folder" --base-port "$base_port"
  start_all "$folder"
  while read -r gate; do gates+=(--gate "$gate"); done <"$folder/gates"
  for admin in "${admins[@]}"; do pages+=(--admin "$admin"); done
  bin/hornbeam-standin snapshot --platform "$platform" "${pages[@]}" --file "$folder/before.json"
  bin/hornbeam-load --workload workloads/capacity.ini --keys "$folder/secrets.ini" "${gates[@]}" \
    --rate "$5" --duration 10s --callers 1024 --records "$folder/answers.jsonl" >"$folder/load.log"
  echo "$2"
  bin/hornbeam-standin measure --platform "$platform" "${pages[@]}" --since "$folder/before.json" \
    --answers "$folder/answers.jsonl" --deployment "$folder/deployment.ini" --append "$out/$series.jsonl"
  stop_all
}

for rate in 0.5 1 2 4 8; do measure_run rates "rate-$rate" 3 48 "$rate"; done
for workers in 48 96 192 384; do measure_run workers "workers-$workers" 3 "$workers" 0.5; done
for domains in 2 3 4 6; do measure_run domains "domains-$domains" "$domains" 48 1; done
