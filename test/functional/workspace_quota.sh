# QUOTA: a flood on four proxies gets the limit of its workspace and no more, while the
# accountant is killed, is paused, wakes, and while none is left. Below the limit, and
# without one, nothing is refused.
MESH_SOURCES=3
. scripts/mesh.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"report_ms": 500, "dialect": "platform", "lease_ms": 60000,'
# The law for a window of 5 s: (10 a second x 5 s + 10) x 1.1 + 20.
LAW=86

for i in 1 2 3; do mesh_source $i --bootstrap; done
for n in 1 2 3 4; do
	mesh_proxy $n "$(mesh_region $n)" "$(mesh_dc $n)"
done
mesh_odd_server 1
mesh_wait 20 mesh_reported 4 || echo "the proxies did not report"
mesh_ctl apply --wait test/functional/workspace_quota.mv >"$MESH_DIR/apply" ||
    cat "$MESH_DIR/apply"
mesh_beat 1 i-1 work "$(mesh_host 1):$PORT_HTTP" 1000 1 ready 20 >/dev/null

ask() { # N KEY PATH
	curl -s -m 6 -o /dev/null -w '%{http_code}\n' -H "Host: h.example" \
	    -H "X-Magnoliavalve-Attempt-Id: $3" -H "X-Magnoliavalve-Key: $2" \
	    "$(mesh_url "$1" "/work/$3")"
}
for n in 1 2 3 4; do
	mesh_wait 20 sh -c "[ $(ask $n b ready) = 200 ]" || echo "not served"
done

# Sends up to 25 requests a second to each proxy, one after another. Statuses go to
# standard error, which is not buffered: on a busy machine the timeout ends it.
flood() { # NAME SECONDS
	for n in 1 2 3 4; do
		timeout $(($2 + 8)) curl -s -m 6 -o /dev/null --rate 25/s \
		    -w '%{stderr}%{http_code}\n' -H "Host: h.example" \
		    -H "X-Magnoliavalve-Attempt-Id: $1" -H "X-Magnoliavalve-Key: a" \
		    "$(mesh_url $n "/work/$1/[1-$(($2 * 25))]")" \
		    2>"$MESH_DIR/flood-$1-$n" &
		floods="${floods:-} $!"
	done
}
runs() { grep -c "/work/$1/" "$MESH_DIR/ran-1"; }
# Checks the runs of the next 5 s.
window() { # WHAT NAME
	window_before=$(runs "$2")
	sleep 5
	window_runs=$(($(runs "$2") - window_before))
	[ $window_runs -le $LAW ] && echo "$1: within the limit" ||
	    echo "$1: $window_runs runs in 5 s"
}
leader() {
	for i in 1 2 3; do
		[ -e "$MESH_DIR/source-$i.pid" ] && mesh_is_leader $i && echo $i && return
	done
}

flood first 24
window "flood" first
[ "$(runs first)" -ge 20 ] && echo "it gets a share" || echo "runs: $(runs first)"
killed=$(leader)
mesh_stop "source-$killed" KILL
window "accountant killed" first
mesh_source "$killed"
before=$(runs first)
sleep 2
paused=$(leader)
kill -STOP "$(mesh_pid "source-$paused")"
window "accountant paused" first
kill -CONT "$(mesh_pid "source-$paused")"
window "it wakes" first
[ "$(runs first)" -gt "$before" ] && echo "others go on" || echo "nobody goes on"
wait $floods
sort "$MESH_DIR"/flood-first-* | uniq -c | awk '$2 != 200 && $2 != 429 && $2 != 503 { print }'
grep -q 429 "$MESH_DIR"/flood-first-* && echo "it is told that it is at its limit"

echo "== below the limit"
sleep 3
for i in $(seq 1 12); do
	ask $((i % 4 + 1)) a "slow-$i"
	sleep 0.3
done | sort | uniq -c | awk '{ print $1, "times", $2 }'

echo "== no accountant"
for i in 1 2 3; do mesh_stop source-$i KILL; done
sleep 3.5
for n in 1 2 3 4; do ask $n a "last-$n" & done >"$MESH_DIR/last"
sleep 3
echo "refused: $(uniq -c <"$MESH_DIR/last" | tr -s ' ')," \
    "runs: $(grep -c /work/last "$MESH_DIR/ran-1")"
echo "without a limit: $(ask 2 b none)"
