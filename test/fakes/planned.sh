# Planned work beside requests in all states, for functional tests; sourced after mesh.sh.
#
#   planned_start     a mesh of seven proxies. Callers use proxy 1. Beside the others are
#                     servers of the services work (2), busy and held, with one slot each
#                     (3 and 7), pair, of which the nearer one (4) sheds all, and late (6),
#                     which announces itself after the event; never has no server
#   planned_play NAME HOLD_S EVENT ...
#                     brings requests into all states, runs EVENT, which returns when it
#                     has taken effect, and has the requests go on; prints one line for
#                     each. The slot of held is taken for HOLD_S seconds
#   planned_stop, planned_shut, planned_reload, planned_apply
#                     events, and waiting for the second part of a stop, see there
#   planned_end_stop N ...
#                     waits for the ends of proxies that got SIGTERM, and starts them again
#
# A test defines planned_late, which returns once the requests that go on late are due, and
# may define planned_end for those of mark 3. With planned_more it adds requests to the
# table. With planned_must=answer those that must have a true answer have to be served.
#
# MESH_KEEP=1 leaves what happened to each request in fates-NAME.

planned_server() { # N SERVICE
	mesh_odd_server "$1"
	mesh_announce "$1" "$2"
}

planned_start() {
	MESH_PROXY_EXTRA='"drain": {"stop_s": 5}, "report_ms": 500,'
	mesh_start test/functional/planned.mv 7 front work busy pair pair late held
	for n in 2 3 5 6 7; do mesh_stop backend-$n KILL; done
	planned_server 2 work
	planned_server 3 busy
	planned_server 5 pair
	planned_server 7 held
	mesh_odd_server 6
	mesh_fake 4 shed=1
}

planned_ask() { # N PATH
	curl -sf -m 4 -o /dev/null "$(mesh_url "$1" "$2")"
}

planned_leaves() { # N
	[ "$(curl -s "http://$(mesh_host "$1"):$PORT_ADMIN/ready")" = leaving ]
}

planned_is_shut() { # N: it takes no new connections
	curl -s -m 1 -o /dev/null "$(mesh_url "$1" /none)"
	[ $? = 7 ]
}

planned_late_is_gone() {
	curl -s "http://$(mesh_host 6):$PORT_ADMIN/status" | grep -q '"backend": "none"'
}

planned_proxies() { # N ...: starts them, and announces their servers
	for n in "$@"; do
		mesh_proxy "$n" "$(mesh_region "$n")" "$(mesh_dc "$n")"
	done
	for n in "$@"; do
		mesh_wait 10 mesh_proxy_has "$n" 1 || echo "proxy $n is not ready"
		case $n in
		2) mesh_announce 2 work ;;
		3) mesh_announce 3 busy ;;
		5) mesh_announce 5 pair ;;
		7) mesh_announce 7 held ;;
		esac
	done
}

planned_stop() { # N ...
	for n in "$@"; do kill -TERM "$(mesh_pid "proxy-$n")"; done
	for n in "$@"; do
		mesh_wait 2 planned_leaves "$n" || echo "proxy $n does not leave"
	done
}

planned_shut() { # N ...
	for n in "$@"; do
		mesh_wait 5 planned_is_shut "$n" || echo "proxy $n takes connections"
	done
}

planned_has_reloaded() { # N COUNT
	[ "$(grep -c 'Reloaded the settings' "$MESH_DIR/proxy-$1.log")" -gt "$2" ]
}

# Writes the settings of proxies anew, with a line put before the others, and has them
# reload.
planned_reload() { # LINE N ...
	reload_line=$1
	shift
	for n in "$@"; do
		reloads=$(grep -c 'Reloaded the settings' "$MESH_DIR/proxy-$n.log")
		sed "s#^{#{ $reload_line#" "$MESH_DIR/proxy-$n.json" >"$MESH_DIR/new.json"
		mv "$MESH_DIR/new.json" "$MESH_DIR/proxy-$n.json"
		kill -HUP "$(mesh_pid "proxy-$n")"
		mesh_wait 5 planned_has_reloaded "$n" "$reloads" ||
		    echo "proxy $n has not reloaded"
	done
}

# Applies rules, and waits until all proxies have them.
planned_apply() { # VERSION FILE
	mesh_ctl apply "$2" >"$MESH_DIR/apply" || cat "$MESH_DIR/apply"
	for n in 1 2 3 4 5 6 7; do
		mesh_wait 5 mesh_proxy_has $n "$1" || echo "proxy $n has no version $1"
	done
}

planned_end_stop() { # N ...
	for n in "$@"; do
		mesh_wait 10 mesh_has_ended "proxy-$n" || echo "proxy $n is still there"
		rm -f "$MESH_DIR/proxy-$n.pid"
	done
	planned_proxies "$@"
}

planned_must=truth
planned_more() { :; }
planned_end() { :; }
planned_at_work=13 # requests at the server of work, with those of planned_more

# Writes the requests of a play, see planned_caller.pl. In the order of the paragraphs:
# heads and bodies half sent; long uploads; at work; queued, and to the end; parked; long
# answers; on kept and new connections; retried; calls of running work.
planned_table() { # NAME
	{
		planned_more
		cat <<'END'
line-early      truth  GET  /work/x/    -               0:line,1:rest  -
line-late       truth  GET  /work/x/    -               0:line,2:rest  -
head-early      truth  POST /work/x/    0               0:head,1:rest  -
head-late       truth  POST /work/x/    0               0:head,2:rest  -
length-early    truth  POST /work/sum=1/ 20000          0:body,1:rest  -
length-late     truth  POST /work/sum=1/ 20000          0:body,2:rest  -
chunked-early   truth  POST /work/sum=1/ chunked:20000  0:body,1:rest  -
chunked-late    truth  POST /work/sum=1/ chunked:20000  0:body,2:rest  -
stored-early    truth  POST /work/sum=1/ 400000         0:body,1:rest  -
stored-late     truth  POST /work/sum=1/ 400000         0:body,2:rest  -

upload-early    answer POST /work/sum=1/ 2000000         0:body,1:rest -
upload-late     answer POST /work/sum=1/ 2000000         0:body,2:rest -
pieces-early    answer POST /work/sum=1/ chunked:2000000 0:body,1:rest -
pieces-late     answer POST /work/sum=1/ chunked:2000000 0:body,2:rest -
upload-new      truth  POST /work/sum=1/ 2000000         1:all         kept
upload-last     truth  POST /work/sum=1/ chunked:2000000 2:all         kept
stored-new      truth  POST /work/sum=1/ 400000          1:all         kept
stored-last     truth  POST /work/sum=1/ chunked:400000  2:all         kept

running         answer POST /work/wait=2/   0           0:all          -
running-long    answer POST /work/wait=3.4/ 0           0:all          -
running-kept    answer POST /work/wait=2/   0           0:all          kept
running-piped   answer POST /work/wait=2/   0           0:all          piped

queued-1        truth  POST /busy/wait=0.5/ 0           0:all          -
queued-2        truth  GET  /busy/wait=0.5/ -           0:all          -
queued-3        truth  POST /held/x/        0           0:all          -
queued-4        truth  GET  /held/x/        -           0:all          -

parked-1        truth  POST /late/x/        0           0:all          -
parked-2        truth  GET  /late/x/        -           0:all          -
parked-3        may    POST /never/x/       0           0:all          -

answer-early    answer GET  /work/bytes=8000000/ -      0:all          slow=1
answer-late     answer GET  /work/bytes=8000000/ -      0:all          slow=2
stream-late     answer GET  /work/bytes=8000000,framing=chunked/ - 0:all slow=2
answer-piped    answer GET  /work/bytes=8000000/ -      0:all          slow=2,piped

kept-early      truth  POST /work/wait=0.3/ 0           1:all          kept
kept-late       truth  POST /work/wait=0.3/ 0           2:all          kept
kept-quick      may    POST /quick/x/       0           2:all          kept
new-early       truth  POST /work/wait=0.3/ 0           1:all          -
new-late        truth  POST /work/wait=0.3/ 0           2:all          -

retried-1       answer POST /pair/wait=2/   0           0:all          -
retried-2       answer POST /pair/wait=2/   0           0:all          -
retried-early   truth  POST /pair/wait=0.3/ 0           1:all          -
retried-late    truth  POST /pair/wait=0.3/ 0           2:all          kept
retried-quick   may    POST /again/x/       0           2:all          kept

call            answer POST /work/wait=2/   0           0:all          inner
call-early      truth  POST /work/wait=0.3/ 0           1:all          inner
call-late       truth  POST /work/wait=0.3/ 0           2:all          inner,kept
END
	} | sed "s/ truth / $planned_must /; s/^[a-z]/$1-&/"
}

# Where the requests of a play are that have been sent.
planned_state() { # NAME
	echo "sent: $(head -1 "$MESH_DIR/results-$1")"
	echo "run: $(cat "$MESH_DIR"/ran-* |
	    grep -c "/$1-\(running\|retried-[12]\|call \|answer\|stream\)")"
	echo "at work: $(mesh_proxy_counter 2 egress_running)"
	echo "queued: $(mesh_proxy_counter 3 egress_waiting)" \
	    "$(mesh_proxy_counter 7 egress_waiting)"
	echo "parked: $(($(mesh_proxy_counter 1 ingress_parked) - planned_parked))"
}

planned_is_set() { # NAME
	planned_state "$1" >"$MESH_DIR/state"
	printf 'sent: ready\nrun: 11\nat work: %d\nqueued: 2 2\nparked: 3\n' \
	    $planned_at_work |
	    cmp -s - "$MESH_DIR/state"
}

# The server of late takes work for a few seconds.
planned_announce_late() {
	curl -s -o /dev/null -X PUT "http://$(mesh_host 6):$PORT_ADMIN/announce" \
	    -d "{\"service\": \"late\", \"state\": \"ready\", \"lease_ms\": 3000,
	    \"address\": \"$(mesh_host 6):$PORT_HTTP\"}"
}

planned_has_run() { # N COUNT
	[ "$(wc -l <"$MESH_DIR/ran-$1")" -ge "$2" ]
}

# Takes the slot of the server of node N, by a request of its own.
planned_hold() { # N SERVICE SECONDS
	planned_runs=$(wc -l <"$MESH_DIR/ran-$1")
	curl -s -m 12 -o /dev/null "$(mesh_url "$1" "/$2/wait=$3/x")" &
	planned_holders="$planned_holders $!"
	mesh_wait 5 planned_has_run "$1" $((planned_runs + 1)) || echo "$2 is not held"
}

planned_play() { # NAME HOLD_S EVENT ...
	planned_name=$1
	planned_hold_s=$2
	shift 2
	mesh_wait 10 planned_late_is_gone || echo "late is still served"
	for service in work busy held pair; do
		mesh_wait 10 planned_ask 6 /$service/x/x || echo "$service is not served"
	done
	# Requests are parked in the first seconds of a proxy only.
	[ -e "$MESH_DIR/proxy-1.pid" ] && mesh_stop proxy-1 KILL
	planned_proxies 1
	mesh_wait 10 mesh_proxy_knows 1 7 || echo "proxy 1 does not list all members"
	mesh_wait 10 planned_ask 1 /work/x/x || echo "work is not served"
	planned_holders=
	planned_hold 3 busy 3
	planned_hold 7 held "$planned_hold_s"
	planned_parked=$(mesh_proxy_counter 1 ingress_parked)
	planned_table "$planned_name" >"$MESH_DIR/table"
	rm -f "$MESH_DIR/marks"
	mkfifo "$MESH_DIR/marks"
	perl test/fakes/planned_caller.pl "$MESH_DIR/table" "$(mesh_host 1):$PORT_OUTER" \
	    "$(mesh_host 1):$PORT_INNER" 30 "$MESH_DIR"/ran-* <"$MESH_DIR/marks" \
	    >"$MESH_DIR/results-$planned_name" 2>"$MESH_DIR/fates-$planned_name" &
	planned_caller=$!
	exec 9>"$MESH_DIR/marks"
	if ! mesh_wait 5 planned_is_set "$planned_name"; then
		echo "requests are not where they belong"
		cat "$MESH_DIR/state"
	fi
	"$@"
	planned_announce_late
	echo 1 >&9
	planned_late
	echo 2 >&9
	planned_end
	echo 3 >&9
	exec 9>&-
	wait $planned_caller
	# shellcheck disable=SC2086
	wait $planned_holders
	sed 1d "$MESH_DIR/results-$planned_name"
}
