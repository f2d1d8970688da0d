#!/usr/bin/env bash
# Runs a small deployment on loopback: stand-ins of the platform, three daemons, eight workers. Sends
# real requests through it, shows their answers, and stops it gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/deployment.sh
build_if_missing
trap stop_all EXIT
start_deployment 3 8
set_up_shifts 8 20

echo "--- a routing check through each daemon"
for n in 1 2 3; do
  team $n submit routing "check-$n" --idempotent --payload="{\"runMs\":50,\"answer\":\"route $n\"}"
done
echo "--- a kit release, which must run at most once; asked for twice"
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
