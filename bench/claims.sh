#!/bin/sh
# Cost of at-most-once: the same requests with and without claims, on three
# ledgers, at increasing rates. Prints claims per second, and the processor time
# and disk syncs of the ledger's leader.
#
#   claims.sh BUILD [SECONDS]
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
build=$1
seconds=${2:-4}
MESH_SOURCES=1
MESH_LEDGERS=3
MESH_LOG_LEVEL=warn
MESH_BACKEND_EXTRA="slots=1000"
mesh_init "$build"
mesh_start bench/claims.mv 6 work

ledger_leader() {
	for i in 1 2 3; do
		[ "$(mesh_counter "$(mesh_host $((210 + i))):$PORT_ADMIN" \
		    replica_is_leader)" = 1 ] && echo "$i"
	done | head -1
}

ticks() { awk '{ print $14 + $15 }' "/proc/$(mesh_pid "ledger-$1")/stat"; }

leader=$(ledger_leader)
for rate in 100 400 800 1600; do
	for class in plain once; do
		option=
		[ $class = once ] && option=,once
		before=$(ticks "$leader")
		flushes=$(mesh_counter "$(mesh_host $((210 + leader))):$PORT_ADMIN" replica_flushes)
		# shellcheck disable=SC2046
		"$MESH_BIN/mvload" $(mesh_load_args 6 | sed 's/-b [^ ]*//g') -j -w 1 \
		    -d "$seconds" -s "$rate" \
		    -c "name=$class,method=POST,path=/$class/,rate=$rate,body=200,target=1000$option" \
		    >"$MESH_DIR/out"
		after=$(ticks "$leader")
		flushes_end=$(mesh_counter "$(mesh_host $((210 + leader))):$PORT_ADMIN" replica_flushes)
		sed 's/.*"in_time":\([0-9]*\).*"p50_ms":\([0-9.]*\).*"p99_ms":\([0-9.]*\).*/\1 \2 \3/;q' \
		    "$MESH_DIR/out" |
		    awk -v c=$class -v r="$rate" -v s="$seconds" \
			-v t=$((after - before)) -v f=$((flushes_end - flushes)) \
			-v hz="$(getconf CLK_TCK)" '{
			printf "%-6s %5d/s offered, %7.1f/s answered, p50 %6.3f p99 %7.3f ms, leader cpu %5.1f%%, syncs %5.0f/s\n",
			    c, r, $1 / s, $2, $3, t / hz / (s + 1) * 100, f / (s + 1) }'
	done
done
rss=$(awk '/^VmRSS/ { print $2 }' "/proc/$(mesh_pid "ledger-$leader")/status")
host=$(mesh_host $((210 + leader))):$PORT_ADMIN
echo "leader: $(mesh_counter "$host" ledger_keys) keys held, $(mesh_counter "$host" ledger_keys_bytes) bytes of keys, resident $rss KB"
