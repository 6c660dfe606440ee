# Starts and stops the processes of a layout. Sourced by the other scripts.

# start_all FOLDER: starts every process of the layout in FOLDER and waits until
# all are ready. Their logs are FOLDER/*.log. Sets pids to their process ids and
# admins to the addresses of their admin pages, except those of hornbeam-standin.
pids=()
admins=()
start_all() {
  local folder=$1 binary file admin platform=""
  while read -r binary file admin; do
    if [ "$binary" = hornbeam-standin ]; then
      "bin/$binary" serve --settings "$file" >"${file%.ini}.log" 2>&1 &
      pids+=($!)
      platform="http://$admin"
      wait_until "$platform/stats"
      bin/hornbeamctl init --table "$platform" --config "$folder/config.json" >/dev/null
      continue
    fi
    "bin/$binary" --settings "$file" >"${file%.ini}.log" 2>&1 &
    pids+=($!)
    admins+=("$admin")
  done <"$folder/processes"
  for admin in "${admins[@]}"; do
    wait_until "http://$admin/readyz"
  done
}

# wait_until URL: waits until URL returns a success status. It makes at most 200
# attempts 0.1 s apart, which takes 20 s when each fails at once.
wait_until() {
  local attempt
  for attempt in $(seq 200); do
    if curl -fs -o /dev/null --max-time 1 "$1"; then
      return 0
    fi
    sleep 0.1
  done
  echo "no answer from $1" >&2
  return 1
}

# stop_all: stops the processes, hornbeam-standin last, and waits for them.
stop_all() {
  local pid
  for pid in "${pids[@]:1}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]:1}"; do
    wait "$pid" 2>/dev/null || true
  done
  if [ ${#pids[@]} -gt 0 ]; then
    kill -TERM "${pids[0]}" 2>/dev/null || true
    wait "${pids[0]}" 2>/dev/null || true
  fi
  pids=()
}
