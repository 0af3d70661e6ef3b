# LOST, REFUSED: planned work while bodies wait to be sent to another proxy, which collects
# them before their requests may run: SIGTERM of the proxy that takes the requests, of the
# one beside the server, of both, then SIGHUP of both and a version of the rules. Those
# that wait are refused by the end of a stop and have not run, and answered otherwise.
. scripts/mesh.sh
. test/fakes/planned.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"drain": {"stop_s": 2.5}, "report_ms": 500,'
mesh_start test/functional/planned_collect.mv 3 front work front
mesh_stop backend-2 KILL
planned_server 2 work
head -c 400000 /dev/zero | tr '\0' 'x' >"$MESH_DIR/body"

is_active() { # N COUNT: requests of callers and answers in progress
	curl -s "http://$(mesh_host "$1"):$PORT_ADMIN/status" | grep -q "\"active\": $2,"
}

# Proxy 2 collects three bodies at a time. Proxy 3 has three there and is stopped, until
# proxy 2 drops its stream after 3 s.
hold() {
	kill -STOP "$(mesh_pid proxy-2)"
	holders=
	for i in 1 2 3; do
		curl -s -m 6 -o /dev/null --data-binary @"$MESH_DIR/body" \
		    "$(mesh_url 3 "/work/x/holder")" &
		holders="$holders $!"
	done
	mesh_wait 5 is_active 3 3 || echo "proxy 3 has not sent its requests"
	kill -STOP "$(mesh_pid proxy-3)"
	kill -CONT "$(mesh_pid proxy-2)"
}

play() { # NAME EVENT ...
	name=$1
	shift
	for n in 1 3; do
		mesh_wait 10 curl -sf -o /dev/null -d x "$(mesh_url $n /work/x/x)" ||
		    echo "not served"
	done
	sed "s/^[a-z]/$name-&/; s/truth/$planned_must/" >"$MESH_DIR/table" <<'END'
length-1   truth POST /work/sum=1/ 400000         0:all -
length-2   truth POST /work/sum=1/ 20000          0:all -
chunked-1  truth POST /work/sum=1/ chunked:400000 0:all -
chunked-2  truth POST /work/sum=1/ chunked:20000  0:all -
kept       truth POST /work/sum=1/ 400000         0:all kept
call       truth POST /work/sum=1/ 400000         0:all inner
END
	hold
	rm -f "$MESH_DIR/marks"
	mkfifo "$MESH_DIR/marks"
	perl test/fakes/planned_caller.pl "$MESH_DIR/table" "$(mesh_host 1):$PORT_OUTER" \
	    "$(mesh_host 1):$PORT_INNER" 9 "$MESH_DIR/ran-2" <"$MESH_DIR/marks" \
	    >"$MESH_DIR/results-$name" 2>"$MESH_DIR/fates-$name" &
	caller=$!
	exec 9>"$MESH_DIR/marks"
	mesh_wait 5 is_active 1 6 || echo "requests are not where they belong"
	"$@"
	exec 9>&-
	wait $caller
	sed 1d "$MESH_DIR/results-$name"
	kill -CONT "$(mesh_pid proxy-3)"
	# shellcheck disable=SC2086
	wait $holders
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
planned_must=answer
change() {
	planned_reload "" 1 2
	mesh_ctl apply "$(mesh_version_file 2 test/functional/planned_collect.mv)" \
	    >"$MESH_DIR/apply" || cat "$MESH_DIR/apply"
	for n in 1 2; do
		mesh_wait 5 mesh_proxy_has $n 2 || echo "proxy $n has no version 2"
	done
}
play change change
