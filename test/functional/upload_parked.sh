# UNASKED: a part of an upload arrives while its request waits for a backend server
# after the start of its proxy. The server gets the whole body. The size is the smallest
# that is not buffered whole before the request is routed.
. scripts/mesh.sh
MESH_PROXY_EXTRA='"report_ms": 500,'
mesh_init "$BUILD"
mesh_start test/functional/upload_parked.mv 1 work
head -c 524289 /dev/zero | tr '\0' 'x' >"$MESH_DIR/body"

upload() { # [ARGUMENT OF CURL ...]
	curl -s -m 12 -w ' %{http_code}\n' -X POST "$@" \
	    --data-binary @"$MESH_DIR/body" "$(mesh_url 1 /up/x)"
}

for framing in chunked length; do
	echo "== $framing"
	[ $framing = chunked ] && set -- -H "Transfer-Encoding: chunked" || set --
	upload "$@" >"$MESH_DIR/plain"
	mesh_stop backend-1 KILL
	mesh_stop proxy-1 KILL
	mesh_proxy 1 "$(mesh_region 1)" "$(mesh_dc 1)"
	mesh_wait 10 mesh_proxy_has 1 1 || echo "the proxy has no rules"
	upload "$@" >"$MESH_DIR/parked" &
	upload=$!
	sleep 0.5
	mesh_backend 1 work
	wait $upload
	grep -q "200$" "$MESH_DIR/plain" || cat "$MESH_DIR/plain"
	cmp "$MESH_DIR/plain" "$MESH_DIR/parked" && echo "the same answer" ||
	    cat "$MESH_DIR/parked"
	echo "parked: $(mesh_proxy_counter 1 ingress_parked)"
done
