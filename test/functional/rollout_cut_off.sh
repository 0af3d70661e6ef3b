# A new version turns bad while the sources are paused: proxies stop using it by
# themselves, and the sources roll it back when they are there again.
. scripts/mesh.sh
MESH_SOURCES=3
MESH_PROXY_EXTRA='"report_ms": 500,'
MESH_BACKEND_EXTRA='version="v1" service_us=2000'
mesh_init "$BUILD"

is_state() { mesh_ctl rollout status log | grep -q "$1"; } # STATE

runs() { # NODE ...
	for n in "$@"; do
		curl -s -m 2 "http://$(mesh_host "$n"):$PORT_HTTP/_fake/runs" | head -1
	done | awk '{ n += $NF } END { print n + 0 }'
}

# Sends requests to the proxies of nodes 1 and 2 in turn and prints the number of
# failures.
call() { # COUNT
	for i in $(seq 1 "$1"); do
		curl -s -m 5 -o /dev/null -w '%{http_code}\n' \
		    "$(mesh_url $((i % 2 + 1)) /log/x)"
	done | grep -vc 200
}

has_stopped() {
	for n in 1 2; do
		grep -q 'This proxy stops using a new version' \
		    "$MESH_DIR/proxy-$n.log" || return 1
	done
}

call_until_stopped() { has_stopped || { call 10 >/dev/null; has_stopped; }; }

mesh_start test/functional/plain.mv 6 log
for n in 4 5 6; do mesh_stop backend-$n TERM; done
mesh_ctl rollout start log v2 --within 15s | head -1
for n in 4 5 6; do mesh_backend $n log 'version="v2"' service_us=2000; done
# Some answers of both versions, to compare with.
while ! is_state 'running, [36]00 of'; do
	call 20 >/dev/null
done
echo "== the sources are paused, and the version turns bad"
for i in 1 2 3; do kill -STOP "$(mesh_pid source-$i)"; done
for n in 4 5 6; do mesh_fake $n fail=1; done
mesh_wait 20 call_until_stopped || echo "a proxy goes on"
before=$(runs 4 5 6)
echo "failures: $(call 100)"
[ "$(runs 4 5 6)" = "$before" ] || echo "$before requests, then $(runs 4 5 6)"
echo "== the sources run on"
for i in 1 2 3; do kill -CONT "$(mesh_pid source-$i)"; done
mesh_wait 20 is_state rolled_back || mesh_ctl rollout status log
mesh_ctl rollout status log | sed -E 's/, [0-9]+ of 1000.*//'
