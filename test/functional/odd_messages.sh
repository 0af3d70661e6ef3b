# LOST, CONFIG: another program writes to the ports for messages between processes:
# each field of each message with values at and beyond its ends. No process ends, and
# nothing that holds changes: members, leader, rules, and what a restarted proxy knows.
. scripts/mesh.sh
MESH_SOURCES=3
MESH_LEDGERS=1
MESH_PROXY_EXTRA='"report_ms": 500,'
mesh_init "$BUILD"
mesh_start test/functional/plain.mv 3 log
pids=$(cat "$MESH_DIR"/*.pid | tr '\n' ' ')

# Writes odd messages to the control port of node N.
odd() { # N udp|tcp TYPE [FIELD=VALUE ...]
	odd_to=$(mesh_host "$1"):$PORT_CONTROL
	shift
	"$MESH_BIN/odd-writer" "$odd_to" "$@" >>"$MESH_DIR/sent"
}

member="region=$(mesh_region 2) dc=$(mesh_dc 2) service=log peer_port=$PORT_PEER
    backend=2 slots=9 version=1 control_port=$PORT_CONTROL"
known="$member name=n2 host=$(mesh_host 2) incarnation=9000000000000"
ghost="$member name=ghost host=$(mesh_host 99) incarnation=1"
GOSSIP=1 SYNC=2 REPORT=10 REPORT_ANSWER=11 PULL=12 RULES=13 DELTA=14
RAFT=40 QUERY=41 JOIN=43 OPERATOR=45 CLAIM=50 RECORD=52 RELEASE=53

for kind in 0 1 2 3; do
	odd 1 udp $GOSSIP kind=$kind target=n3 $known
	odd 1 udp $GOSSIP kind=$kind target=n3 $ghost
done
odd 1 udp $REPORT_ANSWER host="$(mesh_host 201)" text="$(mesh_host 1):1"
for type in $SYNC $PULL $RULES $DELTA; do
	odd 1 tcp $type $known
done
for n in 201 202; do
	odd $n udp $REPORT $known
	odd $n udp $REPORT $ghost
	for type in $PULL $QUERY $JOIN $OPERATOR $RULES; do
		odd $n tcp $type "cluster=@source mesh" id=9 address="$(mesh_host 99):1" \
		    method=GET target=/status
	done
	for kind in 0 1 2 3 4 5 6 7 8; do
		odd $n tcp $RAFT "cluster=@source mesh" to=$((n - 200)) from=3 \
		    kind=$kind term=2 log_term=2 index=1 commit=1 entries=none
	done
done
for type in $CLAIM $RECORD $RELEASE $QUERY; do
	odd 211 tcp $type "cluster=@ledger mesh" scope=r key=k
done
for kind in 0 1 2 3 4 5 6 7 8; do
	odd 211 tcp $RAFT "cluster=@ledger mesh" to=1 from=2 \
	    kind=$kind term=2 log_term=2 index=1 commit=1 entries=none
done
for type in 20 21 22 23 24 25 26 27 28; do
	"$MESH_BIN/odd-writer" "$(mesh_host 2):$PORT_PEER" tcp $type name=n1 \
	    >>"$MESH_DIR/sent"
done

echo "== afterwards"
for pid in $pids; do kill -0 "$pid" || echo "a process has ended"; done
for n in 1 2 3; do
	mesh_wait 30 mesh_proxy_knows $n 3 || echo "proxy $n does not know all"
	curl -s -o /dev/null -w '%{http_code}\n' "$(mesh_url $n /log/x)"
done
mesh_ctl apply --wait "$(mesh_version_file 2)" | sed -n '1p'
mesh_stop proxy-1 TERM
mesh_proxy 1 "$(mesh_region 1)" "$(mesh_dc 1)"
mesh_wait 10 mesh_proxy_has 1 2 || echo "proxy 1 does not serve"
mesh_stop proxy-2 KILL
mesh_proxy 2 "$(mesh_region 2)" "$(mesh_dc 2)"
mesh_wait 10 mesh_proxy_has 2 2 || echo "proxy 2 does not serve"
mesh_ctl apply --wait "$(mesh_version_file 3)" | sed -n '1p'
