#!/bin/sh
# Runs the soak with two fixed seeds and with each seed that failed before.
#
#   run.sh BUILD
set -u
cd "$(dirname "$0")/../.." || exit 1
rc=0
"$1/bin/mvsoak" --bin "$1/bin" --first 1 --seeds 2 --duration 6 || rc=1
while read -r seed seconds _; do
	case $seed in '#'* | '') continue ;; esac
	"$1/bin/mvsoak" --bin "$1/bin" --first "$seed" --duration "$seconds" ||
	    rc=1
done <test/soak/regressions.txt
exit $rc
