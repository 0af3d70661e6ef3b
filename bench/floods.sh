#!/bin/sh
# Service of each rank while the lowest or the highest rank is flooded, compared
# with a FIFO baseline without ranks. Runs real processes.
#
#   floods.sh BUILD [SECONDS]
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
build=$1
seconds=${2:-4}
# In requests/s: 6 backend servers of 2 slots, 20 ms a request.
capacity=600

flood() { # POLICY TIMES FLOODED
	urgent=$((capacity / 10)) middle=$((capacity / 10)) low=$((capacity / 10))
	rest=$(awk -v c=$capacity -v t="$2" 'BEGIN { print c * t - c / 5 }')
	[ "$3" = low ] && low=$rest || urgent=$rest
	# shellcheck disable=SC2046
	"$MESH_BIN/mvload" $(mesh_load_args 6) -w 2 -d "$seconds" -j \
	    -c "name=urgent,path=/urgent/,rate=$urgent,target=200,timeout=2500" \
	    -c "name=middle,path=/middle/,rate=$middle,target=1000,timeout=2500" \
	    -c "name=low,path=/low/,rate=$low,target=2000,timeout=2500" |
	    tr '}' '\n' | awk -F'[:,"]+' -v p="$1" -v t="$2" -v f="$3" -v s="$seconds" '
		/class/ {
			for (i = 1; i < NF; i++) v[$i] = $(i + 1)
			printf "%-8s x%-4s flood of %-6s %-7s in target %5.1f%%  served %6.1f/s of %7.1f/s  p99 %7.1f ms\n",
			    p, t, f, v["class"], v["sent"] ? v["in_time"] * 100 / v["sent"] : 0,
			    (v["in_time"] + v["late"]) / s, v["sent"] / s, v["p99_ms"]
		}
		/doubled/ { for (i = 1; i < NF; i++) v[$i] = $(i + 1)
			if (v["wrong"] > 0) print "WRONG ANSWERS", v["wrong"] }'
}

for policy in ranks fifo; do
	(
		MESH_SOURCES=1
		MESH_BACKEND_EXTRA="service_us=20000 slots=40"
		MESH_LOG_LEVEL=warn
		mesh_init "$build"
		mesh_start bench/floods-$policy.mv 6 work
		for times in 0.8 1.5 3 6; do
			for flooded in low urgent; do
				flood $policy $times $flooded
			done
		done
	)
done
