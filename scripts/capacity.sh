#!/usr/bin/env bash
# Measures, on this machine, the rates that docs/CAPACITY.md is based on. The
# processes communicate over loopback. Measured are the CPU time of the entry
# instance per query and per leaf (2 to 70 leafs in a query), its memory per
# request in flight, the CPU time, platform calls and bytes of an idle node
# (watches and relay), and the propagation time of a patch. The script starts
# 9 processes, sends a few thousand requests and takes about 2 minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=.bin
work=$(mktemp -d)
go build -o "$bin/" ./cmd/yoke ./cmd/yokectl
pids=()
stop() { for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done; wait 2>/dev/null || true; rm -rf "$work"; }
trap stop EXIT
base=17300
"$bin/yokectl" demo --user lipovec --shards 70 --dir "$work" --base-port $base >/dev/null
# Raise the limits, so that the connection limit of the backend servers and the
# connection pool of the entry instance do not affect the measurement.
sed -i 's/max_conns: .*/max_conns: 16000/; s/^slots: .*/slots: 16000/' "$work"/backend-*.yaml "$work/platform.yaml"
sed -i 's/^conns_per_backend: .*/conns_per_backend: 2000/; s/^workers: .*/workers: 40000/; s/^max_in_flight: .*/max_in_flight: 2000/' "$work"/entry-*.yaml
"$bin/yokectl" platform --config "$work/platform.yaml" >>"$work/log" 2>&1 & pids+=($!)
sleep 0.3
for f in "$work"/backend-*.yaml; do "$bin/yokectl" backend --config "$f" >>"$work/log" 2>&1 & pids+=($!); done
for f in "$work"/entry-*.yaml; do "$bin/yoke" serve --config "$f" >>"$work/log" 2>&1 & pids+=($!); done
entry=${pids[5]} # lj-a-entry-1, the measured entry instance
sleep 1
entry_addr=127.0.0.1:$((base + 5))
platform_addr=127.0.0.1:$base
hz=$(getconf CLK_TCK)
cpu() { awk -v hz="$hz" '{print ($14 + $15) * 1000 / hz}' "/proc/$1/stat"; }   # ms
rss() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }                            # KiB
load() { "$bin/yokectl" load --entry "$entry_addr" --app cad-viewer --key cad-viewer-key --deployment lipovec-vizija "$@"; }

echo "== idle: CPU of an entry instance, platform calls and loopback bytes over 20 s, four entry instances"
sleep 8
lo() { awk -F'[: ]+' '$2 == "lo" {print $11}' /proc/net/dev; }   # bytes sent
b0=$(lo)
c0=$(cpu $entry); p0=$(curl -s "http://$platform_addr/debug/state" | sed 's/.*"calls":\([0-9]*\).*/\1/')
sleep 20
b1=$(lo)
c1=$(cpu $entry); p1=$(curl -s "http://$platform_addr/debug/state" | sed 's/.*"calls":\([0-9]*\).*/\1/')
echo "idle_cpu_ms_per_s=$(echo "$c0 $c1" | awk '{printf "%.3f", ($2-$1)/20}') platform_calls_per_s_node=$(echo "$p0 $p1" | awk '{printf "%.3f", ($2-$1)/80}') bytes_per_s_node=$(echo "$b0 $b1" | awk '{printf "%.0f", ($2-$1)/80}')"
echo "instance_list_bytes=$(curl -s "http://$platform_addr/v1/instances" | wc -c) instance_watch_idle_bytes=$(curl -s "http://$platform_addr/v1/instances/watch?after=4" | wc -c) watch_idle_bytes=$(curl -s "http://$platform_addr/v1/config/watch?after=1&timeout_ms=10" | wc -c) config_bytes=$(curl -s "http://$platform_addr/v1/config" | wc -c)"

echo "== CPU per query at the entry instance (ms of CPU per query)"
for ix in viewer-api:70:600 archive-svc:2:4000; do
  IFS=: read -r name leafs n <<<"$ix"
  load --index "$name" --text bolt --requests 200 --concurrency 8 --timeout-ms 2000 >/dev/null
  for run in 1 2 3; do
    c0=$(cpu $entry)
    out=$(load --index "$name" --text bolt --requests "$n" --concurrency 8 --timeout-ms 2000)
    c1=$(cpu $entry)
    echo "leafs=$leafs run=$run cpu_ms_per_query=$(echo "$c0 $c1 $n" | awk '{printf "%.4f", ($2-$1)/$3}') $out"
  done
done

echo "== propagation: time from submitting a patch until it is in force on the entry instance"
for v in 1 2 3 4 5; do
  printf 'base_version: %d\nops:\n  - {kind: set_snapshot, deployment: lipovec-vizija, index: viewer-api, snapshot: %d}\n' "$v" $(( v % 2 + 1 )) > "$work/patch.yaml"
  t0=$(date +%s%N)
  "$bin/yokectl" patch --platform "$platform_addr" --file "$work/patch.yaml" >/dev/null
  until curl -s "http://$entry_addr/debug/state" | grep -q "\"config_version\":$((v + 1))"; do sleep 0.001; done
  echo "version=$((v + 1)) propagation_ms=$(( ($(date +%s%N) - t0) / 1000000 ))"
done

echo "== memory per request in flight (70 leafs each, backend servers take 3 s)"
for b in 1 2 3 4; do "$bin/yokectl" control --addr 127.0.0.1:$((base + b)) --body '{"action":"slow","delay_ms":3000}' >/dev/null; done
r0=$(rss $entry)
for n in 25 50 100; do
  load --index viewer-api --text bolt --requests "$n" --concurrency "$n" --timeout-ms 8000 >/dev/null &
  lp=$!
  sleep 1.5
  r1=$(rss $entry)
  inf=$(curl -s "http://$entry_addr/debug/state" | grep -o '"in_flight":[0-9]*' | head -1 | cut -d: -f2)
  echo "sent=$n in_flight=$inf rss_kib=$r1 idle_rss_kib=$r0 kib_per_request=$(echo "$r0 $r1 $inf" | awk '{printf "%.2f", ($2-$1)/$3}')"
  wait $lp
  sleep 0.5
done
