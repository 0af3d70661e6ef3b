#!/bin/sh
# Runs all benchmarks and prints their results.
#
#   run.sh BUILD
set -u
cd "$(dirname "$0")/.." || exit 1
echo "== admission policies, virtual clock"
"$1/bin/bench-policies"
echo "== added latency"
sh bench/added_time.sh "$1"
echo "== floods, real processes"
sh bench/floods.sh "$1"
echo "== convergence and idle cost"
sh bench/convergence.sh "$1"
echo "== processor time by role"
sh bench/slopes.sh "$1"
echo "== restart of all proxies at once"
sh bench/herd.sh "$1"
echo "== cost of ledger claims"
sh bench/claims.sh "$1"
