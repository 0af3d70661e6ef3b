# DRAIN: a backend server leaves and is acknowledged, its proxy is killed and starts
# again, and a heartbeat from before the leave arrives late. The server gets no work;
# a later process of it does.
. scripts/mesh.sh
mesh_init "$BUILD"

beat() { # N BORN SEQUENCE [STATE]
	mesh_beat "$1" "i-$1" work "$(mesh_host "$1"):$PORT_HTTP" "$2" "$3" "${4:-ready}"
}

# Sends requests through proxies 1 and 2; prints how many server 1 got.
load() {
	before=$(wc -l <"$MESH_DIR/ran-1")
	answered=0
	for i in $(seq 1 40); do
		for n in 1 2; do
			[ "$(curl -s -m 4 -o /dev/null -w '%{http_code}' \
			    -H "X-Magnoliavalve-Attempt-Id: $1.$i.$n" \
			    "$(mesh_url $n /work/$i)")" = 200 ] &&
			    answered=$((answered + 1))
		done
	done
	echo "answered: $answered of 80, by server 1:" \
	    "$([ "$(wc -l <"$MESH_DIR/ran-1")" = "$before" ] && echo none || echo some)"
}

start_proxy() { # N
	mesh_proxy "$1" "$(mesh_region "$1")" "$(mesh_dc "$1")"
}

MESH_PROXY_EXTRA='"report_ms": 500, "dialect": "platform", "lease_ms": 30000,'
mesh_source 1 --bootstrap
for n in 1 2 3; do start_proxy $n; mesh_odd_server $n; done
mesh_wait 20 mesh_reported 3 || echo "the proxies did not report"
mesh_ctl apply --wait test/functional/left_before_restart.mv >"$MESH_DIR/apply" ||
    cat "$MESH_DIR/apply"
for n in 1 2 3; do beat $n 1000 1 >/dev/null; done
sleep 1
echo "== before"
load before
for kind in deregister heartbeat; do
	echo "== server 1 leaves by $kind"
	born=$([ $kind = deregister ] && echo 1000 || echo 2000)
	beat 1 $born 2
	if [ $kind = deregister ]; then
		mesh_call_proxy 1 i-1 deregister ""
	else
		beat 1 $born 3 draining
	fi
	sleep 1
	mesh_stop proxy-1 KILL
	start_proxy 1
	mesh_wait 10 mesh_proxy_has 1 1 || echo "proxy 1 is not ready"
	echo "a late heartbeat: $(beat 1 $born 1)"
	sleep 0.5
	load "$kind"
done
echo "== a later process of server 1"
beat 1 3000 1
sleep 1
load later
