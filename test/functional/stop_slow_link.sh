# LOST: long answers that a proxy has accepted wait for the link of another VM, behind
# those of a third one, when it gets SIGTERM. The link could carry them before its
# process ends: they arrive whole, of the same worth and of less, and those that their
# server begins to send after the signal, as do the others. So does one taken after the
# signal, on a route whose answers are usually short.
. scripts/mesh.sh
. test/fakes/downloads.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"limits": {"link_mbps": 4},'
mesh_start test/functional/stop_slow_link.mv 3 other work other
# Only the proxy that leaves: the one beside the server would take less of the load.
MESH_PROXY_EXTRA='"limits": {"link_mbps": 4}, "drain": {"stop_s": 5},'
mesh_stop proxy-1 KILL
mesh_proxy 1 "$(mesh_region 1)" "$(mesh_dc 1)"
mesh_wait 10 mesh_proxy_has 1 1 || echo "proxy 1 has no rules"
mesh_stop backend-2 KILL

mesh_odd_server 2
mesh_announce 2 work
for n in 1 3; do
	mesh_wait 10 curl -sf -o /dev/null "$(mesh_url $n /short/x/x)" ||
	    echo "not served"
done
hash=$(curl -s "http://$(mesh_host 2):$PORT_HTTP/x/bytes=200000/x" | md5sum)
for route in same less; do
	curl -sf -m 9 -o /dev/null "$(mesh_url 1 "/$route/bytes=200000/x")" ||
	    echo "not served"
done

leaves() {
	[ "$(curl -s "http://$(mesh_host 1):$PORT_ADMIN/ready")" = leaving ]
}
all_run() { # PATTERN COUNT
	[ "$(grep -c "$1" "$MESH_DIR/ran-2")" = "$2" ]
}

# 8 s of the link.
downloads_start fill 3 /fill/bytes=200000 1 18
mesh_wait 10 all_run /fill- 18 || echo "not all run"
# 2 s of the link, and the process of proxy 1 ends after 4.75 s.
downloads_start same 1 /same/bytes=200000 1 1
downloads_start less 1 /less/bytes=200000 1 1
downloads_start later 1 /same/bytes=200000,wait=1.5 1 1
downloads_start parts 1 /same/bytes=200000,wait=1.5,framing=chunked 1 1
mesh_wait 10 all_run '/same-\|/less-\|/later-\|/parts-' 4 || echo "not all run"
kill -TERM "$(mesh_pid proxy-1)"
mesh_wait 2 leaves || echo "proxy 1 does not leave"
downloads_start short 1 /short/bytes=200000 1 1
[ "$(mesh_proxy_counter 2 bulk_queued_bytes)" -gt 2000000 ] ||
    echo "the link is not full"
for label in same less later parts; do
	downloads_judge $label 1 1 "$hash"
	echo "answered: $(downloads_answered $label 1 1)"
done
downloads_judge short 1 1 "$hash"
downloads_judge fill 1 18 "$hash"
echo "answered: $(downloads_answered fill 1 18)"
mesh_wait 10 mesh_has_ended proxy-1 || echo "proxy 1 is still there"
