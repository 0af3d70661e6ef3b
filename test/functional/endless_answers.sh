# LOST: answers of servers that never end, in any part of them, read as fast as they
# come, grew a proxy until it was killed. Its peak stays under half of 260 MB, and small
# requests of other callers are served meanwhile.
. scripts/mesh.sh
MESH_PROXY_EXTRA='"report_ms": 500, "dialect": "platform", "lease_ms": 60000,'
mesh_init "$BUILD"
mesh_source 1 --bootstrap
for n in 1 2 3; do
	mesh_proxy $n "$(mesh_region $n)" "$(mesh_dc $n)"
	mesh_odd_server $n
done
mesh_wait 20 mesh_reported 3 || echo "the proxies did not report"
mesh_ctl apply --wait bench/stray_peers.mv >"$MESH_DIR/apply" || cat "$MESH_DIR/apply"
n=0
for service in near far calm; do
	n=$((n + 1))
	mesh_beat $n i-$n $service "$(mesh_host $n):$PORT_HTTP" 1000 1 >/dev/null
	mesh_wait 10 curl -sf -o /dev/null -H "X-Magnoliavalve-Attempt-Id: w" \
	    "$(mesh_url 1 "/$service/x/w")" || echo "$service is not served"
done

# Bytes that cannot become an answer end the call at once, not at its deadline.
for form in interim foreign; do
	curl -s -m 8 -o /dev/null -w '%{http_code} %{time_total}\n' \
	    -H "X-Magnoliavalve-Attempt-Id: $form" \
	    "$(mesh_url 1 "/near/endless=$form/x")" |
	    awk -v form=$form '{ print form ":", $1, $2 < 2 ? "at once" : $2 " s" }'
done
echo "ended: $(mesh_proxy_counter 1 http_calls_flooded)"
curl -s -m 8 -o /dev/null -w 'after: %{http_code}\n' \
    -H "X-Magnoliavalve-Attempt-Id: after" "$(mesh_url 1 /near/endless=after/x)"
excess_is_counted() { [ "$(mesh_proxy_counter 1 http_excess_bytes)" = 1 ]; }
mesh_wait 2 excess_is_counted || echo "not counted"

check() { # WHAT FORM PATH ...
	what=$1 form=$2
	shift 2
	perl test/fakes/peer_load.pl "$form" "$(mesh_host 1):$PORT_OUTER" 24 6 "$@" &
	load=$!
	perl test/fakes/peer_load.pl small "$(mesh_host 1):$PORT_OUTER" 4 6 /calm/x \
	    >"$MESH_DIR/small"
	wait $load
	for n in 1 2; do
		awk -v what="$what, proxy $n:" '/VmHWM/ {
		    if ($2 / 1024 < 130) print what, "memory holds"
		    else print what, int($2 / 1024) " MB" }' \
		    "/proc/$(mesh_pid proxy-$n)/status" || echo "proxy $n has ended"
	done
	awk -v what="$what:" '{ print what, ($2 == $1 ? "all" : $2 " of " $1),
	    "small requests served" }' "$MESH_DIR/small"
}

check "chunks of 3 bytes" read /far/endless=chunk3
paths=
for form in head field interim size extension chunk1 chunk1000 trailer body foreign after; do
	paths="$paths /near/endless=$form /far/endless=$form"
done
# shellcheck disable=SC2086
check "each form" read $paths
