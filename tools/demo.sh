#!/usr/bin/env bash
# Runs a small deployment on loopback: stand-ins of the platform, three daemons and eight workers. Sends requests, shows
# the answers, and stops all processes gracefully.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/deployment.sh
build_if_missing
trap stop_all EXIT
start_deployment 3 8
set_up_account 8 20

echo "--- a routing check through each daemon"
for n in 1 2 3; do
  as_caller $n submit routing "check-$n" --idempotent --payload="{\"runMs\":50,\"answer\":\"route $n\"}"
done
echo "--- a kit release, which must run at most once, sent twice"
as_caller 1 submit routing kit-1 --payload='{"answer":"kit released"}'
as_caller 2 submit routing kit-1 --payload='{"answer":"kit released"}'
echo "--- a queued request, then its outcome"
as_caller 3 submit routing plan-1 --queued --deadline_ms=60000 --payload='{"runMs":100,"answer":"plan ready"}'
sleep 1
as_caller 1 find routing plan-1
echo "--- the fleet"
as_lead show pools
as_lead show members
as_lead show history
