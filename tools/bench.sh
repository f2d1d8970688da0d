#!/usr/bin/env bash
# Measures on this machine: network traffic, CPU time and memory of idle daemons; then requests per second and response
# times through two daemons, compared with the same load sent directly to the workers.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/deployment.sh
build_if_missing
trap stop_all EXIT
count=${LOFT_BENCH_DAEMONS:-2}
workers=10
start_deployment "$count" $workers
set_up_account $workers 80 >/dev/null

loopback_bytes() { awk '/lo:/ { print $10 }' /proc/net/dev; }
cpu_ticks() { local sum=0 pid; for pid in "${daemons[@]}"; do sum=$((sum + $(awk '{ print $14 + $15 }' /proc/"$pid"/stat))); done; echo $sum; }
resident_kb() { local pid; for pid in "${daemons[@]}"; do awk '/VmRSS/ { print $2 }' /proc/"$pid"/status; done | sort -n | tail -1; }

sleep 5
seconds=20
bytes=$(loopback_bytes)
ticks=$(cpu_ticks)
sleep $seconds
bytes=$(($(loopback_bytes) - bytes))
ticks=$(($(cpu_ticks) - ticks))
awk -v n="$count" -v s=$seconds -v b=$bytes -v t=$ticks -v hz="$(getconf CLK_TCK)" -v rss="$(resident_kb)" 'BEGIN {
  printf "idle, %d daemons, %d s: %.0f bytes/s a daemon (all of the loopback, headers included), %.2f%% of a core a daemon, %.0f MB resident at most\n",
    n, s, b / s / n, 100 * t / hz / s / n, rss / 1024 }'

addresses=''
for w in $(seq 0 $((workers - 1))); do addresses+="$(worker_address "$w"),"; done
for threads in ${LOFT_BENCH_THREADS:-8 40}; do
  "$build/Source/Bench/loft-bench" --mode=latency --callers="$(callers_address 1),$(callers_address 2)" \
    --workers="${addresses%,}" --key=$team_key --queue=routing --threads="$threads" --run_ms=20 --length_ms=3000
done
