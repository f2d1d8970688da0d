#!/usr/bin/env bash
# Runs a small deployment on loopback: stand-ins of the platform, three daemons, two pools of workers.
# Sends real requests through it, shows their answers, and stops it gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${LOFT_BUILD:-build/release}
if [ ! -x "$build/Source/Daemon/loftd" ]; then
  cmake --preset release >/dev/null
  cmake --build --preset release >/dev/null
fi
loftd=$build/Source/Daemon/loftd
ctl=$build/Source/Client/loftctl
standin=$build/Source/Standins/loft-standin
base=${LOFT_PORT:-17000}
dir=$(mktemp -d)
pids=()
daemons=()

stop_all() {
  for pid in "${daemons[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${daemons[@]}"; do wait "$pid" && echo "daemon $pid stopped cleanly" || echo "daemon $pid: exit $?"; done
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$dir"
}
trap stop_all EXIT

"$standin" --kind=log --port=$((base + 1)) & pids+=($!)
"$standin" --kind=list --port=$((base + 2)) & pids+=($!)
"$standin" --kind=workers --port=$((base + 100)) --count=8 & pids+=($!)

operator_key=demo-operator-key
manager_key=demo-manager-key
for n in 1 2 3; do
  cat >"$dir/e$n.toml" <<TOML
[instance]
id = "e$n"
data_centre = "dc$n"
[listen]
callers = "127.0.0.1:$((base + 10 * n))"
peers = "127.0.0.1:$((base + 10 * n + 1))"
operators = "127.0.0.1:$((base + 10 * n + 2))"
[platform]
log = "127.0.0.1:$((base + 1))"
instance_list = "127.0.0.1:$((base + 2))"
[logs]
level = "warning"
[[operator]]
name = "olga"
role = "operations_lead"
key_hash = "$("$ctl" key hash $operator_key)"
[[operator]]
name = "pia"
role = "product_manager"
key_hash = "$("$ctl" key hash $manager_key)"
TOML
  "$loftd" --settings="$dir/e$n.toml" & daemons+=($!)
done

list='['
for w in 0 1 2 3 4 5 6 7; do
  list+="{\"id\":\"w$w\",\"address\":\"127.0.0.1:$((base + 100 + w))\",\"dataCentre\":\"dc$((w % 3 + 1))\",\"rack\":\"dc$((w % 3 + 1))/r$((w / 3))\",\"cores\":16,\"memoryMb\":65536,\"accelerators\":0,\"slots\":8,\"leaving\":false},"
done
sleep 0.5
curl -sf -X PUT -d "${list%,}]" "http://127.0.0.1:$((base + 2))/instances"

ops() { LOFT_KEY=$operator_key "$ctl" --operators="127.0.0.1:$((base + 12))" --why="demo" "$@"; }
pm() { LOFT_KEY=$manager_key "$ctl" --operators="127.0.0.1:$((base + 22))" --why="demo" "$@"; }
team() { LOFT_KEY=demo-team-key "$ctl" --callers="127.0.0.1:$((base + 10 * $1))" "${@:2}"; }

for _ in $(seq 100); do
  ready=0
  for n in 1 2 3; do
    if curl -sf "http://127.0.0.1:$((base + 10 * n))/ready" >/dev/null; then ready=$((ready + 1)); fi
  done
  [ $ready = 3 ] && break
  sleep 0.2
done
echo "ready daemons: $ready"

cat >"$dir/chicote.toml" <<TOML
account = "chicote"
expected = 0
min_available = 50
[[team]]
name = "joinville"
share = 6000
upper_limit = 20
TOML
pm template publish "$dir/chicote.toml"
ops queue define routing shifts
for w in 0 1 2 3 4 5 6 7; do
  ops instance place "w$w" shifts "dc$((w % 3 + 1))" "dc$((w % 3 + 1))/r$((w / 3))" >/dev/null
done
pm key grant "$("$ctl" key hash demo-team-key)" joinville

echo "--- a routing check through each daemon"
for n in 1 2 3; do
  team $n submit routing "check-$n" --idempotent --payload="{\"runMs\":50,\"answer\":\"route $n\"}"
done
echo "--- a kit release, which must run at most once; asked twice"
team 1 submit routing kit-1 --payload='{"answer":"kit released"}'
team 2 submit routing kit-1 --payload='{"answer":"kit released"}'
echo "--- queued work, then its outcome"
team 3 submit routing plan-1 --queued --deadline_ms=60000 --payload='{"runMs":100,"answer":"plan ready"}'
sleep 1
team 1 find routing plan-1
echo "--- the fleet"
ops show pools
ops show members
ops show history
