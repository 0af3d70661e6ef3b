# UNASKED: requests that begin on a VM name its service as the caller's, which is the one
# of the settings: before the first announcement, after a leave, across restarts of the
# proxy and of its server, and from a reload on, whatever was announced.
. scripts/mesh.sh
mesh_init "$BUILD"

start_proxy() { # N SERVICE
	MESH_PROXY_EXTRA="\"report_ms\": 500, \"dialect\": \"platform\", \"service\": \"$2\",
	    \"backend\": \"$(mesh_host "$1"):$PORT_HTTP\","
	mesh_proxy "$1" "$(mesh_region "$1")" "$(mesh_dc "$1")"
}
mesh_source 1 --bootstrap
start_proxy 1 work
start_proxy 2 other
mesh_odd_server 1
mesh_odd_server 2
mesh_wait 20 mesh_reported 2 || echo "the proxies did not report"
mesh_ctl apply --wait test/functional/foreign_heartbeat.mv >"$MESH_DIR/apply" ||
    cat "$MESH_DIR/apply"

sequence=0
beat_other() {
	sequence=$((sequence + 1))
	mesh_beat 2 i-2 other "$(mesh_host 2):$PORT_HTTP" 1000 $sequence >/dev/null
}
beat_own() { # ID SERVICE BORN SEQUENCE
	mesh_beat 1 "$1" "$2" "$(mesh_host 1):$PORT_HTTP" "$3" "$4"
}
get() { # PATH ID [ARGUMENT OF CURL ...]
	get_path=$1 get_id=$2
	shift 2
	curl -s -m 4 -o /dev/null -H "X-Magnoliavalve-Attempt-Id: $get_id" "$@" \
	    "$(mesh_url 1 "$get_path")"
}

# Requests that begin on VM 1, to the server of VM 2 and to a call's target there.
ask() { # WAY
	beat_other
	mesh_wait 10 get /other/ready a -f || echo "not served"
	: >"$MESH_DIR/ran-2"
	for i in 1 2 3 4 5; do
		get /other/$i p$i
		get /other/call$i p$i.c
	done
	printf '%s: ' "$1"
	awk '{ n[$4]++ } END { for (c in n) printf "%s %d ", c, n[c]; print "" }' \
	    "$MESH_DIR/ran-2"
}
settings_are_reloaded() { # COUNT
	[ "$(grep -c 'Reloaded the settings' "$MESH_DIR/proxy-1.log")" -ge "$1" ]
}
reload() { # SERVICE COUNT [SIGNAL]
	sed -i "s/\"service\": \"[^\"]*\"/\"service\": \"$1\"/" "$MESH_DIR/proxy-1.json"
	[ -z "${3:-}" ] || kill -"$3" "$(mesh_pid proxy-1)"
	mesh_wait 10 settings_are_reloaded "$2" || echo "not reloaded"
}

ask "before the first announcement"
beat_own i-1 work 1000 1
ask "announced"
mesh_call_proxy 1 i-9 deregister '{"service":"xe3e240"}'
ask "another server leaves"
mesh_call_proxy 1 i-1 deregister '{"service":"xe3e240"}'
ask "the server leaves"
mesh_stop proxy-1 KILL
start_proxy 1 work
mesh_wait 20 mesh_proxy_has 1 1 || echo "not ready"
ask "the proxy is restarted"
mesh_call_proxy 1 i-9 deregister '{"service":"xe3e240"}'
ask "and another server leaves first"
beat_own i-9 xe3e240 9000 1
ask "and another service is announced first"
beat_own i-1 work 9100 1
ask "the server is restarted"
reload other 1 HUP
ask "the settings name another service"
echo "the old server gets: $(get /work/x a -w '%{http_code}')"
beat_own i-1 work 9100 2
ask "and the old server announces itself"
beat_own i-1 other 500 1
mesh_wait 2 sh -c "curl -s http://$(mesh_host 1):$PORT_ADMIN/status | grep -q '\"ready\",'" &&
    echo "the new server is ready, though it started earlier"
reload work 2
ask "the settings are changed without a signal"
names_are_logged() { [ "$(grep -c "another caller's service" "$MESH_DIR/proxy-1.log")" -ge 4 ]; }
mesh_wait 5 names_are_logged || echo "not all changes are logged"
echo "== source of the name, as logged"
grep -h "another caller's service" "$MESH_DIR"/proxy-1.log |
    sed 's/.*service\. //; s/request=.*//'
