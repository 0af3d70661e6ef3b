# UNASKED: heartbeats of another writer, for a service that no configuration has,
# for that of another VM, or for another address. None of them replaces the backend
# server: requests that begin on its VM name its service, and it serves on.
. scripts/mesh.sh
mesh_init "$BUILD"

mesh_source 1 --bootstrap
for n in 1 2; do
	service=$([ $n = 1 ] && echo work || echo other)
	MESH_PROXY_EXTRA="\"report_ms\": 500, \"dialect\": \"platform\", \"service\": \"$service\",
	    \"backend\": \"$(mesh_host $n):$PORT_HTTP\","
	mesh_proxy $n "$(mesh_region $n)" "$(mesh_dc $n)"
	mesh_odd_server $n
done
mesh_wait 20 mesh_reported 2 || echo "the proxies did not report"
mesh_ctl apply --wait test/functional/foreign_heartbeat.mv >"$MESH_DIR/apply" ||
    cat "$MESH_DIR/apply"

sequence=0
beat_own() {
	sequence=$((sequence + 1))
	mesh_beat 1 i-1 work "$(mesh_host 1):$PORT_HTTP" 1000 $sequence
	mesh_beat 2 i-2 other "$(mesh_host 2):$PORT_HTTP" 1000 $sequence
}

# Requests that begin on VM 1, to both services.
ask() { # [ARGUMENT OF CURL ...]
	: >"$MESH_DIR/ran-1"
	: >"$MESH_DIR/ran-2"
	for i in 1 2 3 4 5 6 7 8; do
		for path in work other; do
			curl -s -m 4 -o /dev/null -w '%{http_code}\n' \
			    -H "X-Magnoliavalve-Attempt-Id: $path-$i" \
			    "$@" "$(mesh_url 1 /$path/$i)"
		done
	done | sort | uniq -c | awk '{ print "answered " $2 ": " $1 }'
	cat "$MESH_DIR"/ran-* | awk '{ n[$4]++ }
	    END { for (c in n) print "caller " c ": " n[c] }' | sort
}

beat_own >/dev/null
is_served() {
	for path in work other; do
		curl -sf -o /dev/null -H "X-Magnoliavalve-Attempt-Id: 0" \
		    "$(mesh_url 1 /$path/0)" || return 1
	done
}
mesh_wait 10 is_served || echo "not served"
echo "== before"
ask
echo "== a caller that names a service itself"
ask -H "x-magnoliavalve-caller-service: xa15a6b" \
    -H "X-MAGNOLIAVALVE-CALLER-SERVICE: xe3e240" \
    -H "Connection: X-Magnoliavalve-Caller-Service"
echo "== a service that no configuration has"
mesh_beat 1 i-x xa15a6b "$(mesh_host 1):$PORT_HTTP" 2000 1
ask
echo "== the same under the id of the server, with a later sequence"
beat_own >/dev/null
mesh_beat 1 i-1 xa15a6b "$(mesh_host 1):$PORT_HTTP" 1000 $((sequence + 1))
ask
echo "== the service of another VM"
beat_own >/dev/null
mesh_beat 1 i-x other "$(mesh_host 1):$PORT_HTTP" 2000 1
ask
echo "== the address of another VM"
beat_own >/dev/null
mesh_beat 1 i-2 work "$(mesh_host 2):$PORT_HTTP" 2000 1
ask
echo "== the server is heard as before"
beat_own
echo "== a heartbeat, and a leave, of a process that starts in the future"
beat_own >/dev/null
mesh_beat 1 i-1 work "$(mesh_host 1):$PORT_HTTP" 99999999999999 1 draining
mesh_call_proxy 1 i-1 deregister '{"born": 99999999999999}'
beat_own >/dev/null
ask
