#!/bin/sh
# Latency that proxies add to a request. Compares, in one run, requests sent
# directly to the fake backend server, through one proxy on the same VM, and
# through ingress and egress on two VMs. Prints the difference between the last
# and the first at each quantile.
#
#   added_time.sh BUILD [REQUESTS_PER_SECOND [SECONDS]]
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
rate=${2:-400}
seconds=${3:-6}
MESH_SOURCES=1
MESH_LEDGERS=1
mesh_init "$1"
mesh_start bench/added_time.mv 2 near far

run() { # TITLE TARGET PATH SEED
	"$MESH_BIN/mvload" -j -w 1 -d "$seconds" -s "$4" -t "$2" \
	    -c "name=x,path=$3,rate=$rate,target=1000" |
	    sed "s/.*\"p50_ms\":\([0-9.]*\).*\"p90_ms\":\([0-9.]*\).*\"p99_ms\":\([0-9.]*\).*/$1 \1 \2 \3/"
}

for round in 1 2 3; do
	run straight "$(mesh_host 1):$PORT_HTTP" /near/ $round
	run one-proxy "$(mesh_host 1):$PORT_OUTER" /near/ $round
	run two-proxies "$(mesh_host 2):$PORT_OUTER" /near/ $round
done | awk -v rate="$rate" '
	{ n[$1]++; p50[$1] += $2; p90[$1] += $3; p99[$1] += $4 }
	END {
		printf "at %s requests/s, mean of 3 runs, ms\n", rate
		printf "%-12s %8s %8s %8s\n", "", "p50", "p90", "p99"
		split("straight one-proxy two-proxies", name, " ")
		for (i = 1; i <= 3; i++) {
			k = name[i]
			printf "%-12s %8.3f %8.3f %8.3f\n", k, p50[k] / n[k],
			    p90[k] / n[k], p99[k] / n[k]
		}
		k = "two-proxies"; s = "straight"
		printf "%-12s %8.3f %8.3f %8.3f   limit 0.41 at p99\n",
		    "added", p50[k] / n[k] - p50[s] / n[s],
		    p90[k] / n[k] - p90[s] / n[s],
		    p99[k] / n[k] - p99[s] / n[s]
	}'
