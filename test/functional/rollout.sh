# A service moves to a new version while a leading source is lost between the order
# and its acknowledgement, and the next one in the first stage; then a bad version is rolled back and gets nothing more.
. scripts/mesh.sh
MESH_SOURCES=3
MESH_PROXY_EXTRA='"report_ms": 500,'
MESH_BACKEND_EXTRA='version="v1" service_us=5000'
mesh_init "$BUILD"

leader() {
	for i in 1 2 3; do
		[ "$(mesh_counter "$(mesh_host $((200 + i))):$PORT_HTTP" \
		    replica_is_leader)" = 1 ] && echo "$i"
	done | head -1
}

rollout() { mesh_ctl rollout "$@"; }

# Without the times and counts of a run.
plainly() { sed -E 's/, [0-9]+ of 1000.*//'; }

# Orders until a source answers, as an operator does.
order() { # SERVICE VERSION TIME
	for i in $(seq 1 20); do
		rollout start "$1" "$2" --within "$3" >"$MESH_DIR/order"
		rc=$?
		[ $rc = 3 ] || break
		sleep 0.3
	done
	plainly <"$MESH_DIR/order"
	echo "exit $rc"
}

is_state() { rollout status log | grep -q "$1"; } # STATE

# Runs at the servers of some nodes.
runs() { # NODE ...
	for n in "$@"; do
		curl -s -m 2 "http://$(mesh_host "$n"):$PORT_HTTP/_fake/runs" | head -1
	done | awk '{ n += $NF } END { print n + 0 }'
}

# Sends requests until the file "stop" is there, and counts answers by status.
call_all_the_time() {
	while [ ! -e "$MESH_DIR/stop" ]; do
		for n in 1 2 3 4 5 6; do
			curl -s -m 5 -o /dev/null -w '%{http_code}\n' \
			    "$(mesh_url $n /log/x)"
		done
	done >"$MESH_DIR/statuses"
}

mesh_start test/functional/plain.mv 6 log
# Nodes 4 to 6 are for new versions.
for n in 4 5 6; do mesh_stop backend-$n TERM; done

echo "== orders that are not valid"
order logs v2 8s
order log "v 2" 8s
order log v2 100h
rollout status log
echo "exit $?"

echo "== the leader is killed as an order comes"
lost=$(leader)
rollout start log v2 --within 10s >"$MESH_DIR/first" 2>&1 &
first=$!
mesh_stop "source-$lost" KILL
wait $first
order log v2 10s | sed 's/^already //'
mesh_source "$lost"
echo "== the same order, and another one"
order log v2 10s
order log v3 10s
echo "== servers of the version come; all requests move to it"
call_all_the_time &
calls=$!
for n in 4 5 6; do mesh_backend $n log 'version="v2"' service_us=5000; done
has_share() { rollout status log | grep -q 'running, [1-9]'; }
mesh_wait 10 has_share || echo "the version gets no share"
lost=$(leader)
mesh_stop "source-$lost" KILL
mesh_source "$lost"
mesh_wait 20 is_state completed || rollout status log
rollout status log | plainly
echo "== the old servers stop at once"
for n in 1 2 3; do mesh_stop backend-$n KILL; done
sleep 1
touch "$MESH_DIR/stop"
wait $calls
sort "$MESH_DIR/statuses" | uniq -c | awk '{ print "status " $2 }'

echo "== a version that fails"
rm "$MESH_DIR/stop"
call_all_the_time &
calls=$!
order log v3 10s
for n in 1 2 3; do mesh_backend $n log 'version="v3"' service_us=5000; done
for n in 1 2 3; do mesh_wait 5 mesh_fake $n fail=1; done
mesh_wait 20 is_state rolled_back || rollout status log
rollout status log | plainly
sleep 0.5
before=$(runs 1 2 3)
echo "== it gets nothing more, also from a proxy that starts"
mesh_stop proxy-2 KILL
mesh_proxy 2 "$(mesh_region 2)" "$(mesh_dc 2)"
mesh_wait 20 mesh_proxy_has 2 1 || echo "n2 is not ready"
sleep 1
touch "$MESH_DIR/stop"
wait $calls
[ "$(runs 1 2 3)" = "$before" ] || echo "$before requests, then $(runs 1 2 3)"
order log v3 10s
order log v3 20s
echo "== all sources restart: the state is kept"
for i in 1 2 3; do mesh_stop source-$i KILL; done
for i in 1 2 3; do mesh_source $i; done
mesh_wait 20 is_state rolled_back
rollout status | plainly
