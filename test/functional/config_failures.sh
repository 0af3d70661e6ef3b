# Sources and proxies are killed, restarted and paused with SIGSTOP, and data of
# sources is wiped or damaged. After each fault no accepted change may be lost,
# and no proxy may return to an older version.
. scripts/mesh.sh
MESH_SOURCES=3
MESH_STALE_MS=3000
MESH_PROXY_EXTRA='"report_ms": 500,'
mesh_init "$BUILD"

version=0
# Writes the next version of the rules and sets $file to its name.
next_file() {
	version=$((version + 1))
	file=$MESH_DIR/v$version.mv
	sed "s/^version 1 .*/version $version # op $version/" \
	    test/functional/plain.mv >"$file"
	echo "route GET /only/$version log rank=log deadline=5s # op $version" \
	    >>"$file"
}

apply_next() {
	next_file
	mesh_ctl apply --wait --timeout 20 "$file" |
	    sed -n '1p; /^in force/p'
}

# Starts to record the version of each proxy in the background.
watch_versions() {
	(
		while :; do
			for n in 1 2 3 4 5 6; do
				echo "$n $(curl -s -m 1 "http://$(mesh_host $n):$PORT_ADMIN/status" |
				    awk '/"version"/ { gsub(/[^0-9]/, "", $2); v = $2 }
				    /"ready": true/ { r = 1 } END { if (r) print v }')"
			done
			sleep 0.1
		done
	) >"$MESH_DIR/watch" 2>/dev/null &
	watch_pid=$!
}

# Prints how often a proxy returned to an older version.
went_back() {
	awk '$2 != "" { if ($2 + 0 < high[$1]) back++; else high[$1] = $2 + 0 }
	    END { print "returns to an older version: " back + 0 }' "$MESH_DIR/watch"
}

source_leader() {
	for i in 1 2 3 4; do
		[ "$(mesh_counter "$(mesh_host $((200 + i))):$PORT_HTTP" \
		    replica_is_leader)" = 1 ] && echo "$i"
	done | head -1
}

for i in 1 2 3; do mesh_source $i --bootstrap; done
for n in 1 2 3 4 5 6; do
	mesh_proxy $n "$(mesh_region $n)" "$(mesh_dc $n)"
	mesh_backend $n log
done
mesh_wait 20 mesh_reported 6 || echo "the proxies did not report"
watch_versions

echo "# accepted and in force"
apply_next
echo "# the leader is killed: another one is elected"
leader=$(source_leader)
mesh_stop "source-$leader" KILL
apply_next
echo "# a second source is killed: no quorum, changes are refused, proxies serve"
other=$((leader % 3 + 1))
mesh_stop "source-$other" KILL
sleep 1.5
next_file
mesh_ctl apply "$file" | sed 's/version [0-9]*: //'
mesh_ctl apply "$file" >/dev/null
echo "exit $?"
version=$((version - 1))
curl -s "$(mesh_url 1 /log/x)"
echo "# endpoints change while the sources have no quorum"
curl -s -X POST "http://$(mesh_host 3):$PORT_HTTP/_fake/drain" >/dev/null
for i in $(seq 1 60); do
	curl -s "$(mesh_url 1 /log/$i)" >/dev/null
done
sleep 2
before=$(curl -s "http://$(mesh_host 3):$PORT_HTTP/_fake/runs" | head -1)
for i in $(seq 1 60); do
	curl -s "$(mesh_url $((i % 6 + 1)) /log/$i)" >/dev/null
done
after=$(curl -s "http://$(mesh_host 3):$PORT_HTTP/_fake/runs" | head -1)
[ "$before" = "$after" ] && echo "the drained backend server gets no requests"
echo "# all proxies are restarted while there is no quorum: none serves"
for n in 1 2 3 4 5 6; do mesh_stop proxy-$n KILL; done
for n in 1 2 3 4 5 6; do
	mesh_proxy $n "$(mesh_region $n)" "$(mesh_dc $n)"
done
mesh_wait 10 mesh_proxy_knows 1 6 || echo "n1 does not list all members"
curl -s -w '%{http_code}\n' "$(mesh_url 2 /log/x)"
echo "# the quorum is back: all serve the last accepted version"
mesh_source "$other"
mesh_source "$leader"
for n in 1 2 3 4 5 6; do
	mesh_wait 20 mesh_proxy_has $n $version || echo "n$n has not"
done
curl -s "$(mesh_url 2 /only/$version)"
apply_next

echo "# a torn write at the end of a log is truncated, nothing accepted is lost"
leader=$(source_leader)
follower=$((leader % 3 + 1))
mesh_stop "source-$follower" KILL
log=$(ls "$MESH_DIR/source-$follower.data"/log-* | tail -1)
printf 'MVWL\001\002\003half a record' >>"$log"
mesh_source "$follower"
apply_next
mesh_wait 10 grep -q 'Cut 20 torn bytes' "$MESH_DIR/source-$follower.log" ||
    echo "no torn bytes were truncated"
echo "# a damaged record in the middle of a log stops the program"
mesh_stop "source-$follower" KILL
log=$(ls "$MESH_DIR/source-$follower.data"/log-* | head -1)
printf 'X' | dd of="$log" bs=1 seek=60 conv=notrunc 2>/dev/null
mesh_source "$follower"
mesh_wait 10 grep -q 'damaged at byte' "$MESH_DIR/source-$follower.log" &&
    echo "refused"
wait "$(mesh_pid "source-$follower")"
echo "exit $?"
echo "# a replica whose data was wiped cannot rejoin under its id"
rm -rf "$MESH_DIR/source-$follower.data"
"$MESH_BIN/mvsource" "$MESH_DIR/source-$follower.json"
echo "exit $?"
"$MESH_BIN/mvsource" --bootstrap "$MESH_DIR/source-$follower.json"
echo "exit $?"
grep -o 'the cluster holds data already' "$MESH_DIR/source-$follower.log" |
    tail -1
echo "# it is replaced by a new replica, then another one is lost for good"
mesh_source_settings 4
mesh_run source-4 mvsource --join "$MESH_DIR/source-4.json"
mesh_ctl replace --remove "$follower" --add 4="$(mesh_host 204):$PORT_CONTROL"
replicas() {
	mesh_ctl status --json | tr -d ' \n' |
	    grep -o '"replicas":\[[^]]*\]' | grep -o '"id":[0-9]*' | sort |
	    tr '\n' ' '
}
is_replaced() {
	replicas | grep -q 4 && ! replicas | grep -q ":$follower "
}
mesh_wait 20 is_replaced || echo "not replaced: $(replicas)"
lost=$((6 - leader - follower))
mesh_stop "source-$lost" KILL
apply_next
echo "# the leader is paused: another one accepts changes"
mesh_run "source-$lost" mvsource "$MESH_DIR/source-$lost.json"
sleep 1
leader=$(source_leader)
kill -STOP "$(mesh_pid "source-$leader")"
sleep 2
MESH_SOURCES=4
apply_next
kill -CONT "$(mesh_pid "source-$leader")"
sleep 0.3
echo "# the paused leader catches up once it is resumed"
mesh_wait 10 sh -c "'$MESH_BIN/mvctl' -s $(mesh_host $((200 + leader))):$PORT_HTTP status | grep -q 'version $version '" ||
    echo "it is still behind"

echo "# a proxy that missed hundreds of versions catches up"
mesh_stop proxy-5 KILL
for i in $(seq 1 250); do
	version=$((version + 1))
	sed "s/^version 1 .*/version $version # op/" test/functional/plain.mv \
	    >"$MESH_DIR/v.mv"
	mesh_ctl apply "$MESH_DIR/v.mv" >"$MESH_DIR/out" ||
	    cat "$MESH_DIR/out"
done
mesh_proxy 5 "$(mesh_region 5)" "$(mesh_dc 5)"
mesh_wait 20 mesh_proxy_has 5 $version || echo "n5 has not"
apply_next
echo "# a paused proxy is listed as a straggler"
kill -STOP "$(mesh_pid proxy-6)"
sleep 4
mesh_ctl status | sed -n 's/silent for [0-9]*/silent for N/; s/version [0-9]*/version V/; /straggler/p; /^in force/p'
kill -CONT "$(mesh_pid proxy-6)"
apply_next
kill $watch_pid
went_back
