#!/bin/sh
# Time from the acceptance of a version until it is in force, and the cost of an
# idle proxy, by fleet size. Two regions of three data centres.
#
#   convergence.sh BUILD [SIZE ...]
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
build=$1
shift
[ $# -gt 0 ] || set -- 6 30 100

# Prints processor time in ticks, resident and anonymous memory in KB, summed
# over the proxies.
proxy_usage() {
	for n in $(seq 1 "$size"); do
		pid=$(mesh_pid "proxy-$n")
		awk '{ t = $14 + $15 } END { printf "%d ", t }' "/proc/$pid/stat"
		awk '/^VmRSS/ { r = $2 } /^RssAnon/ { a = $2 }
		    END { print r, a }' "/proc/$pid/status"
	done | awk '{ t += $1; r += $2; a += $3 } END { print t, r, a }'
}

counter_sum() { # NAME
	for n in $(seq 1 "$size"); do
		mesh_proxy_counter "$n" "$1"
	done | awk '{ s += $1 } END { print s + 0 }'
}

measure_idle() {
	seconds=20
	# shellcheck disable=SC2046
	set -- $(proxy_usage)
	ticks=$1
	bytes=$(counter_sum gossip_sent_bytes)
	sleep $seconds
	# shellcheck disable=SC2046
	set -- $(proxy_usage)
	bytes_end=$(counter_sum gossip_sent_bytes)
	awk -v n="$size" -v t=$(($1 - ticks)) -v r="$2" -v a="$3" \
	    -v b=$((bytes_end - bytes)) -v s=$seconds \
	    -v hz="$(getconf CLK_TCK)" 'BEGIN {
		printf "idle, a proxy: cpu %.2f%% of a core, resident %.1f MB (own %.1f MB), gossip sent %.0f bytes/s\n",
		    t / hz / s / n * 100, r / n / 1024, a / n / 1024, b / s / n }'
}

# Prints the seconds from the acceptance of a version at the source to its
# adoption at each proxy, from the times of their log lines.
adoption_delays() { # VERSION
	accepted=$(grep -h "Accepted version $1 " "$MESH_DIR"/source-*.log |
	    sort | head -1 | cut -d' ' -f1)
	grep -h "Adopted version $1 " "$MESH_DIR"/proxy-*.log |
	    cut -d' ' -f1 | awk -v a="$accepted" '
		function seconds(t) {
			split(substr(t, 12), p, ":")
			return p[1] * 3600 + p[2] * 60 + p[3]
		}
		{ print seconds($1) - seconds(a) }'
}

make_rules() { # VERSION LINES
	echo "version $1 # bench"
	echo "rank a worth=1 target=1s # bench"
	echo "service s slots=20 connections=100 # bench"
	for i in $(seq 1 "$2"); do
		echo "route GET /p$i/* s rank=a deadline=$(((i == 7) * $1 + 1))s # bench, a comment of usual length"
	done
}

for size in "$@"; do
	(
		MESH_SOURCES=3
		mesh_init "$build"
		for i in 1 2 3; do mesh_source $i --bootstrap; done
		for n in $(seq 1 "$size"); do
			mesh_proxy "$n" "r$((n % 2))" "r$((n % 2))-$((n / 2 % 3))"
		done
		mesh_wait 60 mesh_reported "$size" || echo "not all proxies reported within 60 s"
		for v in 1 2 3 4 5 6; do
			make_rules $v 200 >"$MESH_DIR/v.mv"
			mesh_ctl apply "$MESH_DIR/v.mv" >"$MESH_DIR/out" ||
			    cat "$MESH_DIR/out"
			sleep 3
		done
		mesh_ctl status --wait --timeout 30 | sed -n 2p
		for v in 2 3 4 5 6; do adoption_delays $v; done | sort -n |
		    awk -v size="$size" '{ d[NR] = $1 } END {
			printf "%d proxies, %d adoptions of 5 changes: p50 %.0f ms, p99 %.0f ms, worst %.0f ms\n",
			    size, NR, d[int(NR / 2) + 1] * 1000,
			    d[int(NR * 0.99 + 0.999)] * 1000, d[NR] * 1000 }'
		echo "a change of one line in $(wc -c <"$MESH_DIR/v.mv") bytes: received by each proxy $(($(counter_sum config_received_bytes) / 6 / size)) bytes (first whole, then deltas); pulls from another data centre $(counter_sum config_far_pulls) in 6 changes for 6 data centres"
		measure_idle
	)
done
