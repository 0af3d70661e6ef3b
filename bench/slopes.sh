#!/bin/sh
# Processor time of each role per request, for docs/CAPACITY.md.
#
#   slopes.sh BUILD
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
MESH_SOURCES=3
MESH_LEDGERS=3
mesh_init "$1"
MESH_BACKEND_EXTRA="slots=1000"
mesh_start bench/slopes.mv 2 far work

ticks() { awk '{ print $14 + $15 }' "/proc/$(mesh_pid "$1")/stat"; }
hz=$(getconf CLK_TCK)

# Prints the processor time of each process per request, in microseconds.
measure() { # TITLE SECONDS RATE CLASS
	for p in proxy-1 proxy-2 ledger-1 ledger-2 ledger-3 source-1; do
		ticks $p
	done >"$MESH_DIR/before"
	"$MESH_BIN/mvload" -w 0 -d "$2" -t "$(mesh_host 1):$PORT_OUTER" -c "$4,rate=$3" \
	    >"$MESH_DIR/out"
	for p in proxy-1 proxy-2 ledger-1 ledger-2 ledger-3 source-1; do
		ticks $p
	done >"$MESH_DIR/after"
	paste "$MESH_DIR/before" "$MESH_DIR/after" |
	    awk -v hz="$hz" -v n=$(($2 * $3)) -v t="$1" '
		{ us[NR] = ($2 - $1) / hz * 1e6 / n }
		END { printf "%-34s ingress %5.0f us, egress %5.0f us, ledgers %4.0f %4.0f %4.0f us a request\n",
		    t, us[1], us[2], us[3], us[4], us[5] }'
}

measure "GET" 8 1000 "name=get,path=/get/"
measure "POST of 1 KB" 8 1000 "name=post,method=POST,path=/post/,body=1000"
measure "POST of 1 KB, once" 8 500 "name=once,method=POST,path=/once/,body=1000,once"
measure "PUT of 1 MB" 8 20 "name=put,method=PUT,path=/post/,body=1000000"
for p in proxy-1 proxy-2 source-1 ledger-1; do
	awk -v p=$p '/^VmRSS/ { r = $2 } /^RssAnon/ { a = $2 }
	    END { printf "%s resident %d KB, own %d KB\n", p, r, a }' \
	    "/proc/$(mesh_pid $p)/status"
done
for i in 1 2 3; do
	host=$(mesh_host $((210 + i))):$PORT_ADMIN
	echo "ledger-$i: $(mesh_counter "$host" ledger_keys) keys, $(mesh_counter "$host" ledger_keys_bytes) bytes of keys, disk $(du -sk "$MESH_DIR/ledger-$i.data" | cut -f1) KB"
done
