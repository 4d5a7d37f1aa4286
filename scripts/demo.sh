#!/usr/bin/env bash
# Runs the sample installations as separate processes on loopback. For each of
# the two users, it starts a platform stand-in and two availability zones with
# two backend server stand-ins and two entry instances each. It then sends
# queries to both deployments and prints each answer with its coverage. When
# the script ends or is interrupted, it stops every process gracefully (SIGTERM).
set -euo pipefail
cd "$(dirname "$0")/.."
bin=.bin
work=$(mktemp -d)
go build -o "$bin/" ./cmd/yoke ./cmd/yokectl
pids=()
stop() {
  trap - INT TERM EXIT
  echo "== stopping ${#pids[@]} processes gracefully"
  for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
  rm -rf "$work"
  echo "== stopped"
}
trap stop INT TERM EXIT

start() { "$@" >>"$work/logs" 2>&1 & pids+=($!); }

# Waits until the server at an address answers.
wait_up() {
  for _ in $(seq 1 100); do
    if curl -sf "http://$1/healthz" >/dev/null 2>&1 || curl -sf "http://$1/debug/state" >/dev/null 2>&1; then return 0; fi
    sleep 0.05
  done
  echo "no answer from $1 after 100 attempts" >&2; return 1
}

# Starts all processes of one user's installation. Usage: launch USER BASE_PORT
launch() {
  local dir="$work/$1"
  "$bin/yokectl" demo --user "$1" --dir "$dir" --base-port "$2" >/dev/null
  start "$bin/yokectl" platform --config "$dir/platform.yaml"
  wait_up "127.0.0.1:$2"
  for f in "$dir"/backend-*.yaml; do start "$bin/yokectl" backend --config "$f"; done
  for f in "$dir"/entry-*.yaml; do start "$bin/yoke" serve --config "$f"; done
  for p in $(seq $(( $2 + 5 )) $(( $2 + 8 ))); do wait_up "127.0.0.1:$p"; done
}

launch lipovec 17100
launch lakeshore 17200
sleep 0.3
echo "== ${#pids[@]} processes running (logs: $work/logs)"

# Prints and runs a yokectl command.
q() { echo; echo "\$ yokectl $*"; "$bin/yokectl" "$@"; }

echo; echo "== Lipovec Vizija: part-number suggestions (zone lj-a, then lj-b)"
q search --entry 127.0.0.1:17105 --app cad-viewer --key cad-viewer-key --deployment lipovec-vizija --index viewer-api --text bracket --timeout-ms 200
q search --entry 127.0.0.1:17107 --app cad-viewer --key cad-viewer-key --deployment lipovec-vizija --index archive-svc --text bolt --timeout-ms 2000
q hold --entry 127.0.0.1:17106 --app bom-panel --key bom-panel-key --deployment lipovec-vizija --index viewer-api --shard s01 --item PN-s01-100 --idempotency-key order-7781
q search --entry 127.0.0.1:17105 --app intruder --key nope --deployment lipovec-vizija --index viewer-api --text bracket

echo; echo "== Lakeshore Haven: open beds (zone detroit-hall, then cleveland-hall)"
q search --entry 127.0.0.1:17205 --app outreach-van --key outreach-van-key --deployment lakeshore-haven --index shelter-console --text open --limit 2 --timeout-ms 300
q hold --entry 127.0.0.1:17207 --app outreach-van --key outreach-van-key --deployment lakeshore-haven --index shelter-console --shard s03 --item s03-room-0 --idempotency-key van12-dusk-1
q control --addr 127.0.0.1:17204 --body '{"action":"slow","delay_ms":1000}'
q search --entry 127.0.0.1:17207 --app crisis-line --key crisis-line-key --deployment lakeshore-haven --index shelter-console --text open --limit 1 --timeout-ms 300
echo; echo "== the other replica is slow too: two shards are reported as missing"
q control --addr 127.0.0.1:17202 --body '{"action":"slow","delay_ms":1000}'
q search --entry 127.0.0.1:17207 --app crisis-line --key crisis-line-key --deployment lakeshore-haven --index shelter-console --text open --limit 1 --timeout-ms 300
q dump --addr 127.0.0.1:17205 | head -20
