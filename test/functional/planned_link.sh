# LOST: planned work while long answers wait for the link of the VM of their server, and
# while others are still to begin: SIGTERM of the proxy that takes the requests, of the
# one beside the server, of both, then SIGHUP of both and a version of the rules. The link
# carries all in the time of a stop, and all arrive whole.
. scripts/mesh.sh
. test/fakes/planned.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"limits": {"link_mbps": 4}, "drain": {"stop_s": 5}, "report_ms": 500,'
mesh_start test/functional/planned_link.mv 2 front work
mesh_stop backend-2 KILL
planned_server 2 work

is_set() { # NAME
	[ "$(grep -c "/$1-" "$MESH_DIR/ran-2")" = 8 ] &&
	    [ "$(mesh_proxy_counter 2 bulk_queued_bytes)" -gt 400000 ]
}

play() { # NAME EVENT ...: 1.6 MB, which the link carries in 3.5 s
	name=$1
	shift
	mesh_wait 10 curl -sf -o /dev/null "$(mesh_url 1 /tiny/x/x)" || echo "not served"
	sed "s/^[a-z]/$name-&/" >"$MESH_DIR/table" <<'END'
length-1   answer GET /work/bytes=200000/                        - 0:all -
length-2   answer GET /work/bytes=200000/                        - 0:all kept
chunked-1  answer GET /work/bytes=200000,framing=chunked/        - 0:all -
chunked-2  answer GET /work/bytes=200000,framing=chunked/        - 0:all kept
begins-1   answer GET /work/wait=1.5,bytes=200000/               - 0:all -
begins-2   answer GET /work/wait=1.5,bytes=200000/               - 0:all inner
begins-3   answer GET /work/wait=1.5,bytes=200000,framing=chunked/ - 0:all -
begins-4   answer GET /work/wait=1.5,bytes=200000,framing=chunked/ - 0:all -
tiny       truth  GET /tiny/x/                                   - 1:all kept
END
	rm -f "$MESH_DIR/marks"
	mkfifo "$MESH_DIR/marks"
	perl test/fakes/planned_caller.pl "$MESH_DIR/table" "$(mesh_host 1):$PORT_OUTER" \
	    "$(mesh_host 1):$PORT_INNER" 15 "$MESH_DIR/ran-2" <"$MESH_DIR/marks" \
	    >"$MESH_DIR/results-$name" 2>"$MESH_DIR/fates-$name" &
	caller=$!
	exec 9>"$MESH_DIR/marks"
	mesh_wait 5 is_set "$name" || echo "requests are not where they belong"
	"$@"
	echo 1 >&9
	exec 9>&-
	wait $caller
	sed 1d "$MESH_DIR/results-$name"
}

echo "== SIGTERM of the proxy that takes the requests"
play ingress planned_stop 1
planned_end_stop 1
echo "== SIGTERM of the one beside the server"
play server planned_stop 2
planned_end_stop 2
echo "== SIGTERM of both"
play both planned_stop 1 2
planned_end_stop 1 2
echo "== SIGHUP of both and a version of the rules"
change() {
	planned_reload "" 1 2
	mesh_ctl apply "$(mesh_version_file 2 test/functional/planned_link.mv)" \
	    >"$MESH_DIR/apply" || cat "$MESH_DIR/apply"
	for n in 1 2; do
		mesh_wait 5 mesh_proxy_has $n 2 || echo "proxy $n has no version 2"
	done
}
play change change
