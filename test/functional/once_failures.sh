# Bookings under load while one process after another is killed or paused.
# Each caller resends its key until it gets a response. The fake backend servers
# count the runs of each key: none may run twice, none that was acknowledged may
# be missing, none that was reported "not run" may have run.
. scripts/mesh.sh
MESH_SOURCES=1
MESH_LEDGERS=3
MESH_BACKEND_EXTRA="service_us=400000"
mesh_init "$BUILD"
mesh_start test/functional/once.mv 6 book

load() { # SECONDS
	# shellcheck disable=SC2046
	"$MESH_BIN/mvload" $(mesh_load_args 6) -w 0 -d "$1" -r 60 \
	    -s "$2" -c name=book,method=POST,path=/book/,rate=60,body=50,once,target=6000,timeout=6000 \
	    >"$MESH_DIR/load" 2>&1
	grep -q ' in_time [1-9]' "$MESH_DIR/load" || cat "$MESH_DIR/load"
	sed -n 's/^keys [0-9]* //p' "$MESH_DIR/load"
}

# Runs a command while a load is running.
during() { # TITLE SEED COMMAND ...
	echo "# $1"
	seed=$2
	shift 2
	load 4 "$seed" &
	load_pid=$!
	sleep 1.5
	"$@"
	wait $load_pid
}

ledger_leader() {
	for i in 1 2 3; do
		[ "$(mesh_counter "$(mesh_host $((210 + i))):$PORT_ADMIN" \
		    replica_is_leader)" = 1 ] && echo "$i"
	done | head -1
}

restart_proxy() {
	mesh_stop "proxy-$1" KILL
	sleep 0.5
	mesh_proxy "$1" "$(mesh_region "$1")" "$(mesh_dc "$1")"
}

restart_ledger_leader() {
	leader=$(ledger_leader)
	mesh_stop "ledger-$leader" KILL
	sleep 1
	mesh_ledger "$leader"
}

freeze() { # NAME
	kill -STOP "$(mesh_pid "$1")"
	sleep 1.5
	kill -CONT "$(mesh_pid "$1")"
}

freeze_ledger_leader() { freeze "ledger-$(ledger_leader)"; }

during "no fault" 1 true
during "a proxy is killed and restarted" 2 restart_proxy 2
during "another proxy right after it" 3 restart_proxy 3
during "a proxy is paused" 4 freeze proxy-4
during "the leader of the ledgers is killed and restarted" 5 restart_ledger_leader
during "the leader of the ledgers is paused" 6 freeze_ledger_leader
during "a backend server is paused" 7 freeze backend-5

echo "# no ledger quorum: refused, and nothing runs"
mesh_stop ledger-1 KILL
mesh_stop ledger-2 KILL
curl -s -m 9 -X POST -H 'Idempotency-Key: noquorum' --data-binary x \
    -D "$MESH_DIR/head" -o "$MESH_DIR/answer" -w '%{http_code}\n' \
    "$(mesh_url 1 /book/x)"
tr -d '\r' <"$MESH_DIR/head" | grep -i '^magnolia-outcome'
cat "$MESH_DIR/answer"
echo "runs $(mesh_runs 6 noquorum)"
mesh_ledger 1
mesh_ledger 2
echo "# the quorum is back: the same key runs"
mesh_wait 20 curl -sf -X POST -H 'Idempotency-Key: noquorum' \
    --data-binary x "$(mesh_url 1 /book/x)" || echo "still refused"
echo "runs $(mesh_runs 6 noquorum)"

echo "# backend servers exit right after a run: unknown, and no second run"
for n in 1 2 3 4 5 6; do mesh_fake $n die_after_run=1; done
curl -s -m 9 -X POST -H 'Idempotency-Key: dies' --data-binary x \
    -D "$MESH_DIR/head" -o /dev/null -w '%{http_code}\n' \
    "$(mesh_url 1 /book/d)"
tr -d '\r' <"$MESH_DIR/head" | grep -i '^magnolia-outcome'
exited=0
for n in 1 2 3 4 5 6; do
	kill -0 "$(mesh_pid backend-$n)" 2>/dev/null || exited=$((exited + 1))
done
echo "backend servers that ran it: $exited"
