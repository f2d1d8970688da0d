# Functions for a small deployment on loopback: stand-ins of the platform, daemons and workers. Source it with the root
# of the tree as the working directory.

build=${LOFT_BUILD:-build/release}
loftd=$build/Source/Daemon/loftd
ctl=$build/Source/Client/loftctl
standin=$build/Source/Standins/loft-standin
base=${LOFT_PORT:-17000}
operator_key=demo-operator-key
manager_key=demo-manager-key
team_key=demo-team-key
dir=$(mktemp -d)
platform=()
daemons=()

build_if_missing() {
  if [ ! -x "$loftd" ]; then
    cmake --preset release >/dev/null
    cmake --build --preset release >/dev/null
  fi
}

stop_all() {
  for pid in "${daemons[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${daemons[@]}"; do wait "$pid" && echo "daemon $pid stopped cleanly" || echo "daemon $pid: exit $?"; done
  for pid in "${platform[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$dir"
}

callers_address() { echo "127.0.0.1:$((base + 10 * $1))"; }
operators_address() { echo "127.0.0.1:$((base + 10 * $1 + 2))"; }
worker_address() { echo "127.0.0.1:$((base + 200 + $1))"; }

write_settings() {
  cat >"$dir/e$1.toml" <<TOML
[instance]
id = "e$1"
data_centre = "dc$((($1 - 1) % 3 + 1))"
[listen]
callers = "$(callers_address "$1")"
peers = "127.0.0.1:$((base + 10 * $1 + 1))"
operators = "$(operators_address "$1")"
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
}

# start_deployment DAEMONS WORKERS: starts all processes and waits up to 30 s per daemon until it is ready.
start_deployment() {
  "$standin" --kind=log --port=$((base + 1)) & platform+=($!)
  "$standin" --kind=list --port=$((base + 2)) & platform+=($!)
  "$standin" --kind=workers --port=$((base + 200)) --count="$2" & platform+=($!)
  for n in $(seq "$1"); do
    write_settings "$n"
    "$loftd" --settings="$dir/e$n.toml" & daemons+=($!)
  done
  local list='' w
  for w in $(seq 0 $(($2 - 1))); do
    list+="{\"id\":\"w$w\",\"address\":\"$(worker_address "$w")\",\"dataCentre\":\"dc$((w % 3 + 1))\",\"rack\":\"dc$((w % 3 + 1))/r$((w / 12))\",\"cores\":16,\"memoryMb\":65536,\"accelerators\":0,\"slots\":8,\"leaving\":false},"
  done
  sleep 0.5
  curl -sf -X PUT -d "[${list%,}]" "http://127.0.0.1:$((base + 2))/instances"
  for n in $(seq "$1"); do
    for _ in $(seq 150); do
      curl -sf "http://$(callers_address "$n")/ready" >/dev/null && break
      sleep 0.2
    done
  done
}

# Run loftctl as the operations lead, as the product manager, and as a caller at daemon $1.
as_lead() { LOFT_KEY=$operator_key "$ctl" --operators="$(operators_address 1)" --why="demo" "$@"; }
as_manager() { LOFT_KEY=$manager_key "$ctl" --operators="$(operators_address 2)" --why="demo" "$@"; }
as_caller() { LOFT_KEY=$team_key "$ctl" --callers="$(callers_address "$1")" "${@:2}"; }

# set_up_account WORKERS LIMIT: publishes an account with one team and that upper limit, defines a queue, puts all
# workers into its pool and grants the team's key.
set_up_account() {
  cat >"$dir/chicote.toml" <<TOML
account = "chicote"
expected = 0
min_available = 50
[[team]]
name = "joinville"
share = 6000
upper_limit = $2
TOML
  as_manager template publish "$dir/chicote.toml"
  as_lead queue define routing shifts
  local w
  for w in $(seq 0 $(($1 - 1))); do
    as_lead instance place "w$w" shifts "dc$((w % 3 + 1))" "dc$((w % 3 + 1))/r$((w / 12))" >/dev/null
  done
  as_manager key grant "$("$ctl" key hash $team_key)" joinville
}
