# An upload whose answer has no room on the link of the server's VM is refused before its
# body takes the link of the VM that it comes from.
. scripts/mesh.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"limits": {"link_mbps": 4},'
mesh_start test/functional/upload_refused.mv 2 other work
mesh_stop backend-2 KILL
mesh_odd_server 2
mesh_announce 2 work
mesh_wait 10 curl -sf -o /dev/null "$(mesh_url 1 /work/x/x)" || echo "not served"
head -c 300000 /dev/zero | tr '\0' 'x' >"$MESH_DIR/body"

upload() { # ID [ARGUMENT OF CURL ...]
	upload_id=$1
	shift
	curl -s -m 20 -o /dev/null -w '%{http_code}\n' --data-binary @"$MESH_DIR/body" "$@" \
	    "http://$(mesh_host 1):$PORT_INNER/work/bytes=1500000/$upload_id"
}

# The answer is 3 s of the link.
upload whole
before=$(mesh_proxy_counter 2 egress_bodies_collected)
upload late -H "Magnolia-Deadline-Ms: 1000"
echo "bodies: $before, then $(mesh_proxy_counter 2 egress_bodies_collected)"
grep -c /late "$MESH_DIR/ran-2" | sed 's/^/late ran: /'

# A proxy that has just started lets requests wait for rules and endpoints, not for room:
# it does not send one again and again.
mesh_stop proxy-1 KILL
mesh_proxy 1 "$(mesh_region 1)" "$(mesh_dc 1)"
mesh_wait 10 mesh_proxy_has 1 1 || echo "proxy 1 has no rules"
upload young -H "Magnolia-Deadline-Ms: 2000" -H "Magnolia-Request-Id: young"
mesh_wait 5 grep -q 'Answered.*request="young"' "$MESH_DIR/proxy-1.log" ||
    echo "not logged"
sent=$(grep -c 'Sent to a backend server.*request="young"' "$MESH_DIR/proxy-1.log")
[ "$sent" -ge 1 ] && [ "$sent" -le 4 ] || echo "sent $sent times"
