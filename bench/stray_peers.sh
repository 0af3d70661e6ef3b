#!/bin/sh
# Memory of proxies, and service of other callers, beside peers that send or read
# without end: servers whose answers do not end, callers whose uploads do not, callers
# that pause. Half of them go through one proxy, half through two. Prints the peak
# memory of each proxy, and for the small requests of other callers, to a third VM: how
# many were asked and answered, and their 50th and 99th percentile.
#
#   stray_peers.sh BUILD [SECONDS [COUNT ... [-- FORM ...]]]
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
build=$1
seconds=${2:-8}
shift; [ $# = 0 ] || shift
counts=
while [ $# -gt 0 ] && [ "$1" != -- ]; do counts="$counts $1"; shift; done
[ $# = 0 ] || shift
forms=${*:-none head field interim size extension chunk1 chunk3 chunk1000 trailer \
    body foreign after upload1 upload3 upload1000 pause}

peak_mb() { # PROXY
	awk '/VmHWM/ { printf "%d", $2 / 1024 }' "/proc/$(mesh_pid "proxy-$1")/status" \
	    2>/dev/null || printf ended
}

get_calm() { curl -sf -o /dev/null -H "X-Magnoliavalve-Attempt-Id: w" "$(mesh_url 1 "/$1/x/w")"; }

play() { # FORM COUNT
	mesh_init "$build"
	MESH_PROXY_EXTRA="\"report_ms\": 500, \"dialect\": \"platform\", \"lease_ms\": 60000,
	    ${MESH_EXTRA:-}"
	mesh_source 1 --bootstrap
	for n in 1 2 3; do
		mesh_proxy $n "$(mesh_region $n)" "$(mesh_dc $n)"
		mesh_odd_server $n
	done
	mesh_wait 20 mesh_reported 3 || echo "the proxies did not report"
	mesh_ctl apply --wait bench/stray_peers.mv >"$MESH_DIR/apply" || cat "$MESH_DIR/apply"
	mesh_beat 1 i-1 near "$(mesh_host 1):$PORT_HTTP" 1000 1 ready 200 >/dev/null
	mesh_beat 2 i-2 far "$(mesh_host 2):$PORT_HTTP" 1000 1 ready 200 >/dev/null
	mesh_beat 3 i-3 calm "$(mesh_host 3):$PORT_HTTP" 1000 1 >/dev/null
	for service in near far calm; do
		mesh_wait 10 get_calm $service || echo "$service is not served"
	done
	case $1 in
	none) peers= ;;
	upload*) peers="chunk${1#upload}"; option=early=0 ;;
	pause) peers=pause; option=endless=body ;;
	*) peers=read; option=endless=$1 ;;
	esac
	[ -z "$peers" ] || perl test/fakes/peer_load.pl $peers \
	    "$(mesh_host 1):$PORT_OUTER" "$2" "$seconds" "/near/$option" "/far/$option" &
	peer_pid=$!
	small=$(perl test/fakes/peer_load.pl small "$(mesh_host 1):$PORT_OUTER" 4 \
	    "$seconds" /calm/x)
	wait $peer_pid
	printf '%-10s %4s  %5s %5s  %s\n' "$1" "$2" "$(peak_mb 1)" "$(peak_mb 2)" "$small"
}

printf '%-10s %4s  %5s %5s  %s\n' form peers MB-1 MB-2 "asked answered p50-ms p99-ms"
for form in $forms; do
	for count in ${counts:-4 24 96}; do
		(play "$form" "$count")
		[ "$form" != none ] || break
	done
done
