#!/bin/sh
# Runs all benchmarks and prints their figures.
#
#   run.sh BUILD
set -u
cd "$(dirname "$0")/.." || exit 1
echo "== admission policies, virtual clock"
"$1/bin/bench-policies"
echo "== added time"
sh bench/added_time.sh "$1"
echo "== floods, real processes"
sh bench/floods.sh "$1"
echo "== convergence and idle cost"
sh bench/convergence.sh "$1"
echo "== processor time by role"
sh bench/slopes.sh "$1"
echo "== a herd of restarts"
sh bench/herd.sh "$1"
echo "== claims of the ledger"
sh bench/claims.sh "$1"
