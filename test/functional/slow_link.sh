# Tiny calls beside downloads over a slow link: the proxy next to the server knows what
# its link carries, and sends bodies no faster. Tiny calls do not wait behind them, each
# download arrives whole, and one that cannot arrive by its deadline ends visibly, or is
# refused once the size of such answers is known.
. scripts/mesh.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"limits": {"link_mbps": 4},'
mesh_start test/functional/slow_link.mv 2 other work
mesh_stop backend-2 KILL

mesh_odd_server 2
mesh_announce 2 work
mesh_wait 10 curl -sf -o /dev/null "$(mesh_url 1 /work/bytes=3/x)" ||
    echo "not served"

hash=$(curl -s "http://$(mesh_host 2):$PORT_HTTP/work/bytes=250000/x" | md5sum)
pids=
for i in 1 2 3 4 5 6 7 8; do
	curl -s -m 40 "$(mesh_url 1 "/work/bytes=250000/$i")" |
	    md5sum >"$MESH_DIR/sum-$i" &
	pids="$pids $!"
done
mesh_wait 10 sh -c "curl -s http://$(mesh_host 2):$PORT_ADMIN/counters |
    grep -q '^bulk_queued_bytes [1-9]'" || echo "no body waits for the link"

answered=0
for i in 1 2 3 4 5 6 7 8 9 10; do
	curl -sf -m 5 -o /dev/null "$(mesh_url 1 "/work/bytes=100/$i")" &&
	    answered=$((answered + 1))
done
running=0
for pid in $pids; do
	kill -0 "$pid" 2>/dev/null && running=$((running + 1))
done
echo "tiny calls answered: $answered"
[ $running -gt 0 ] && echo "downloads were still under way"

wait $pids
for i in 1 2 3 4 5 6 7 8; do
	[ "$(cat "$MESH_DIR/sum-$i")" = "$hash" ] || echo "download $i: other bytes"
done
echo "downloads: read"

# 3 s of the link, with a deadline of 1 s.
curl -s -m 10 -o /dev/null -w '%{http_code} %{exitcode}\n' \
    "$(mesh_url 1 /work/bytes=1500000/first)" |
    sed 's/^200 [1-9][0-9]*$/the first one: cut/; s/^50[234] 0$/the first one: cut/'
curl -s -m 10 -o /dev/null -D "$MESH_DIR/head" "$(mesh_url 1 /work/bytes=1500000/second)"
sed -n 's/\r$//; s/^HTTP.* \(5..\) .*/the second one: \1/p; s/^Magnolia-Outcome: /outcome: /p' \
    "$MESH_DIR/head"

# LOST: a proxy that leaves stays until the answers that wait for its link have left.
pids=
for i in 1 2 3 4 5 6; do
	curl -s -m 40 "$(mesh_url 1 "/work/bytes=250000/stop-$i")" |
	    md5sum >"$MESH_DIR/sum-$i" &
	pids="$pids $!"
done
all_run() { [ "$(grep -c /stop- "$MESH_DIR/ran-2")" = 6 ]; }
mesh_wait 10 all_run || echo "not all run"
mesh_wait 10 sh -c "curl -s http://$(mesh_host 2):$PORT_ADMIN/counters |
    grep -q '^bulk_queued_bytes [1-9][0-9]\{5\}'" || echo "no body waits for the link"
mesh_stop proxy-2 TERM
wait $pids
for i in 1 2 3 4 5 6; do
	[ "$(cat "$MESH_DIR/sum-$i")" = "$hash" ] || echo "download $i: other bytes"
done
echo "downloads beside a stop: read"
