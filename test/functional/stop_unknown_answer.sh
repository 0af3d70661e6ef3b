# LOST: a proxy that leaves is asked for long answers whose usual size it does not know,
# and the link of the other VM does not carry them before its process ends. It answers
# each whole or refuses it, and serves short answers as long as its port is open.
. scripts/mesh.sh
. test/fakes/downloads.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"limits": {"link_mbps": 4}, "drain": {"stop_s": 5},'
mesh_start test/functional/stop_unknown_answer.mv 2 other work
mesh_stop backend-2 KILL

mesh_odd_server 2
mesh_announce 2 work
mesh_wait 10 curl -sf -o /dev/null "$(mesh_url 1 /tiny/x/x)" || echo "not served"
hash=$(curl -s "http://$(mesh_host 2):$PORT_HTTP/x/bytes=400000/x" | md5sum)

leaves() {
	[ "$(curl -s "http://$(mesh_host 1):$PORT_ADMIN/ready")" = leaving ]
}

# Asks proxy 1 for 7 s of the link once it has got SIGTERM, which ends it after 4.75 s.
play() { # LABEL OPTIONS
	kill -TERM "$(mesh_pid proxy-1)"
	mesh_wait 2 leaves || echo "proxy 1 does not leave"
	downloads_start "$1" 1 "/$1/$2" 1 8
	curl -s -m 4 -o /dev/null -w 'a short answer: %{http_code}\n' \
	    "$(mesh_url 1 "/tiny/x/$1")"
	downloads_judge "$1" 1 8 "$hash"
	mesh_wait 10 mesh_has_ended proxy-1 || echo "proxy 1 is still there"
}

start_again() { # the short route is known
	mesh_proxy 1 "$(mesh_region 1)" "$(mesh_dc 1)"
	mesh_wait 10 mesh_proxy_has 1 1 || echo "proxy 1 has no rules"
	mesh_wait 10 curl -sf -o /dev/null "$(mesh_url 1 /tiny/x/x)" ||
	    echo "not served"
}

echo "== a route that the proxy has not used, answers with a length"
play length bytes=400000,wait=0.5
start_again
echo "== answers without a length"
play chunked bytes=400000,wait=0.5,framing=chunked
start_again
echo "== answers without a length, on a route that the proxy has used"
for i in 1 2; do
	curl -sf -m 9 -o /dev/null "$(mesh_url 1 "/used/bytes=400000,framing=chunked/x")" ||
	    echo "not served"
done
play used bytes=400000,wait=0.5,framing=chunked
start_again
echo "== answers with a length, on a route that the proxy has used"
curl -sf -m 9 -o /dev/null "$(mesh_url 1 "/known/bytes=400000/x")" || echo "not served"
play known bytes=400000,wait=0.5
