# LOST, REFUSED, TWICE: planned work while requests with keys claim them at a ledger that
# does not answer, wait for the result of another attempt, or are sent again: SIGTERM of
# the proxy that takes them, of the one beside the server, of both, then SIGHUP of both
# and a version of the rules. Work that has begun is answered, and no key runs twice.
. scripts/mesh.sh
. test/fakes/planned.sh
MESH_LEDGERS=1
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"drain": {"stop_s": 5}, "report_ms": 500,'
mesh_start test/functional/planned_keys.mv 2 front book
mesh_stop backend-2 KILL
mesh_odd_server 2
mesh_announce 2 book

ask() { # KEY: prints the status
	curl -s -m 4 -o /dev/null -w '%{http_code}' -X POST -H "Idempotency-Key: $1" \
	    "$(mesh_url 1 "/book/x/$1")"
}
is_served() { [ "$(ask "served-$1")" = 200 ]; }
runs() { # NAME COUNT
	[ "$(grep -c "/$1-runs" "$MESH_DIR/ran-2")" = "$2" ]
}
is_waiting() { # CLAIMS: those of the second requests are answered: the keys are in use
	[ "$(mesh_proxy_counter 2 once_claims)" -ge "$1" ] && has_slots 2
}
has_slots() { # COUNT
	[ "$(mesh_proxy_counter 2 egress_running)" = "$1" ]
}

play() { # NAME EVENT ...
	name=$1
	shift
	mesh_announce 2 book
	mesh_wait 10 is_served "$name" || echo "not served"
	sed "s/^[a-z]/$name-&/; s/like=/like=$name-/; s/key=/key=$name-/
	    s/truth/$planned_must/" >"$MESH_DIR/table" <<'END'
runs-1      answer POST /book/wait=2.5/ 0 0:all key=1
runs-2      answer POST /book/wait=3/   0 0:all key=2,kept
waits-1     key    POST /book/wait=2.5/ 0 1:all key=1,like=runs-1
waits-2     key    POST /book/wait=3/   0 1:all key=2,like=runs-2
claims-1    truth  POST /book/x/        0 2:all key=3
claims-2    truth  POST /book/x/        0 2:all key=4,inner
claims-3    truth  POST /book/wait=0.5/ 0 2:all key=5,kept
claims-long truth  POST /book/wait=1.5/ 0 2:all key=6,kept
again-early key    POST /book/wait=2.5/ 0 3:all key=1,like=runs-1
again-late  key    POST /book/wait=2.5/ 0 4:all key=1,like=runs-1,kept
new-late    truth  POST /book/x/        0 4:all key=7,kept
END
	rm -f "$MESH_DIR/marks"
	mkfifo "$MESH_DIR/marks"
	perl test/fakes/planned_caller.pl "$MESH_DIR/table" "$(mesh_host 1):$PORT_OUTER" \
	    "$(mesh_host 1):$PORT_INNER" 12 "$MESH_DIR/ran-2" <"$MESH_DIR/marks" \
	    >"$MESH_DIR/results-$name" 2>"$MESH_DIR/fates-$name" &
	caller=$!
	exec 9>"$MESH_DIR/marks"
	mesh_wait 5 runs "$name" 2 || echo "the first requests do not run"
	claims=$(mesh_proxy_counter 2 once_claims)
	echo 1 >&9
	mesh_wait 5 is_waiting $((claims + 2)) || echo "none waits for a result"
	kill -STOP "$(mesh_pid ledger-1)"
	echo 2 >&9
	mesh_wait 5 has_slots 6 || echo "requests are not where they belong"
	"$@"
	echo 3 >&9
	planned_late
	kill -CONT "$(mesh_pid ledger-1)"
	echo 4 >&9
	exec 9>&-
	wait $caller
	sed 1d "$MESH_DIR/results-$name"
}

stop() { # N ...
	stopped=$*
	planned_stop "$@"
}
planned_late() {
	# shellcheck disable=SC2086
	planned_shut $stopped
}
echo "== SIGTERM of the proxy that takes the requests"
play ingress stop 1
planned_end_stop 1
echo "== SIGTERM of the one beside the server"
play server stop 2
planned_end_stop 2
echo "== SIGTERM of both"
play both stop 1 2
planned_end_stop 1 2
echo "== SIGHUP of both and a version of the rules"
planned_must=answer
planned_late() {
	mesh_ctl apply "$(mesh_version_file 2 test/functional/planned_keys.mv)" \
	    >"$MESH_DIR/apply" || cat "$MESH_DIR/apply"
	for n in 1 2; do
		mesh_wait 5 mesh_proxy_has $n 2 || echo "proxy $n has no version 2"
	done
}
play change planned_reload "" 1 2
