# A proxy whose drain limit comes while its server still works on requests of another
# proxy ends by itself, with status 0, and names the requests that it cuts.
. scripts/mesh.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"drain": {"stop_s": 2},'
mesh_start test/functional/stop_with_calls.mv 2 other work
mesh_wait 10 curl -sf -o /dev/null "$(mesh_url 1 /work/x)" || echo "not served"

mesh_fake 2 service_us=20000000
pids=
for i in 1 2 3 4 5 6; do
	curl -s -m 30 -o /dev/null "$(mesh_url 1 "/work/$i")" &
	pids="$pids $!"
done
curl -s -m 30 -o /dev/null "$(mesh_url 2 /work/own)" &
pids="$pids $!"
all_run() { [ "$(mesh_proxy_counter 2 egress_running)" = 7 ]; }
mesh_wait 10 all_run || echo "not all run"
mesh_stop proxy-2 TERM
echo "status of the process: $?"
grep -c 'The process ends before the request.' "$MESH_DIR/proxy-2.log" |
    sed 's/^/requests of its own callers that it names: /'
# shellcheck disable=SC2086
kill $pids 2>/dev/null
exit 0
