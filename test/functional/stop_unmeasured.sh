# LOST: before a proxy gets SIGTERM it is asked for more long answers than the link of the
# other VM carries in the time of a stop: of a usual size that is known, of one that is not,
# and without a length. Each is answered whole, or refused and has not run.
. scripts/mesh.sh
. test/fakes/planned.sh
. test/fakes/downloads.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"limits": {"link_mbps": 4}, "drain": {"stop_s": 5}, "report_ms": 500,'
mesh_start test/functional/stop_unmeasured.mv 2 front work
mesh_stop backend-2 KILL
planned_server 2 work
mesh_wait 10 planned_ask 1 /tiny/x/x || echo "not served"
hash=$(curl -s "http://$(mesh_host 2):$PORT_HTTP/x/bytes=400000/x" | md5sum)

are_decided() { # LABEL: run, or answered
	run=$(grep -c "/$1-" "$MESH_DIR/ran-2")
	ended=$(grep -l . "$MESH_DIR/$1"-*.end 2>/dev/null | wc -l)
	[ $((run + ended)) -ge 8 ]
}

# Asks for 7 s of the link; the process of proxy 1 ends 4.75 s after the signal.
play() { # LABEL OPTIONS
	downloads_start "$1" 1 "/$1/$2" 1 8
	mesh_wait 5 are_decided "$1" || echo "not all run"
	planned_stop 1
	downloads_judge "$1" 1 8 "$hash"
	[ "$(downloads_answered "$1" 1 8)" -ge 3 ] && echo "some answered"
	planned_end_stop 1
	mesh_wait 10 planned_ask 1 /tiny/x/x || echo "not served"
}

echo "== a usual size that is known"
curl -sf -m 9 -o /dev/null "$(mesh_url 1 /known/bytes=400000/x)" || echo "not served"
play known bytes=400000,wait=0.3
echo "== one that is not known"
play new bytes=400000,wait=0.3
echo "== answers without a length"
play parts bytes=400000,wait=0.3,framing=chunked
