#!/bin/sh
# Restart storm: kills all proxies at once and starts them again. Prints the
# time until they serve the newest version, the cost for the sources, and the
# cost of reports for a source.
#
#   herd.sh BUILD [SIZE]
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
size=${2:-100}
MESH_SOURCES=3
mesh_init "$1"

ticks() { awk '{ print $14 + $15 }' "/proc/$(mesh_pid "$1")/stat"; }
source_counter() { # NAME; sums it over the sources
	for i in 1 2 3; do
		mesh_counter "$(mesh_host $((200 + i))):$PORT_HTTP" "$1"
	done | awk '{ s += $1 } END { print s }'
}
start_all() {
	for n in $(seq 1 "$size"); do
		mesh_proxy "$n" "r$((n % 2))" "r$((n % 2))-$((n / 2 % 3))"
	done
}

for i in 1 2 3; do mesh_source $i --bootstrap; done
start_all
mesh_wait 60 mesh_reported "$size" || echo "not all proxies reported within 60 s"
mesh_ctl apply --wait examples/bureau.mv >/dev/null || echo "rules are not in force on all proxies"
before=$(ticks source-1)
reports=$(source_counter source_reports)
sleep 10
awk -v t=$(($(ticks source-1) - before)) -v r=$(($(source_counter source_reports) - reports)) \
    -v hz="$(getconf CLK_TCK)" 'BEGIN {
	printf "a source, quiet: %.2f%% of a core for %.1f reports/s\n",
	    t / hz / 10 * 100, r / 3 / 10 }'
pulls=$(source_counter source_pulls)
deferred=$(source_counter source_pulls_put_off)
for n in $(seq 1 "$size"); do kill -KILL "$(mesh_pid "proxy-$n")"; done
for n in $(seq 1 "$size"); do
	wait "$(mesh_pid "proxy-$n")" 2>/dev/null
	: >"$MESH_DIR/proxy-$n.log"
done
before=$(ticks source-1)
start_all
for n in $(seq 1 "$size"); do
	mesh_wait 60 mesh_proxy_has "$n" 1 || echo "n$n does not serve requests after 60 s"
done
cat "$MESH_DIR"/proxy-*.log | awk -v size="$size" '
	function seconds(t) {
		split(substr(t, 12), p, ":")
		return p[1] * 3600 + p[2] * 60 + p[3]
	}
	/Started n/ { s = seconds($1); if (!first || s < first) first = s
		if (s > last) last = s }
	/Serves requests/ { d[++n] = seconds($1) }
	END {
		for (i = 1; i <= n; i++) if (d[i] > worst) worst = d[i]
		printf "%d of %d serve again; the last one %.1f s after the first start, %.1f s after the last start\n",
		    n, size, worst - first, worst - last }'
echo "sources: $(($(source_counter source_pulls) - pulls)) pulls answered, $(($(source_counter source_pulls_put_off) - deferred)) put off, $(($(ticks source-1) - before)) ticks of source-1"
