#!/usr/bin/env bash
# Plays the case "queues" against target/loftd; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-3.sh.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/loftd ] && [ -x build/review-3/review-standin ] || exit 2
timeout -k 2 115 build/review-3/review-standin queues target/loftd "$folder/record.txt" "${TROUBLE:-1}"
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
