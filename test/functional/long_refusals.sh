# REFUSED: a backend server that has run a request answers 503, 429 or 408 with a long
# body, and does not state that it did not run it. The client is never told so,
# whatever the length; one that does state it is refused as not run.
. scripts/mesh.sh
mesh_init "$BUILD"

MESH_PROXY_EXTRA='"report_ms": 500, "dialect": "platform", "lease_ms": 60000,'
mesh_source 1 --bootstrap
for n in 1 2; do
	mesh_proxy $n "$(mesh_region $n)" "$(mesh_dc $n)"
done
mesh_wait 20 mesh_reported 2 || echo "the proxies did not report"
mesh_ctl apply --wait test/functional/long_refusals.mv >"$MESH_DIR/apply" ||
    cat "$MESH_DIR/apply"
for n in 1 2; do
	mesh_odd_server $n
	mesh_beat $n i-$n work "$(mesh_host $n):$PORT_HTTP" 1000 1 >/dev/null
done
sleep 1

for not in 0 1; do
	[ $not = 0 ] && echo "== executed" || echo "== not executed"
	for status in 503 429 408; do
		for bytes in 0 1000 65536 65537 1000000 -1; do
			path=/work/status=$status,bytes=$bytes,not=$not/x
			result=$(curl -s -m 4 -o /dev/null -X POST \
			    -H "X-Magnoliavalve-Attempt-Id: $status.$bytes.$not" \
			    -w '%{http_code}' "$(mesh_url 1 $path)")
			echo "$status: $result, runs" \
			    "$(cat "$MESH_DIR"/ran-* | grep -c "^POST $path ")"
		done
	done | sort | uniq -c
done
