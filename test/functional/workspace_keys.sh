# UNASKED, ROUTE and CONFIG: requests need the key of a workspace, which the servers are
# told in place of the key. A key that is withdrawn ends requests that wait, on kept
# connections too, and stays withdrawn when a proxy restarts without any source. No log,
# status or counter holds a key.
. scripts/mesh.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"report_ms": 500, "dialect": "platform", "lease_ms": 60000,'
MESH_LOG_LEVEL=debug

mesh_source 1 --bootstrap
for n in 1 2; do
	mesh_proxy $n "$(mesh_region $n)" "$(mesh_dc $n)"
done
mesh_odd_server 1
mesh_wait 20 mesh_reported 2 || echo "the proxies did not report"

get() { # N PATH ID [ARGUMENT OF CURL ...]
	get_n=$1 get_path=$2 get_id=$3
	shift 3
	curl -s -m 6 -o /dev/null -w '%{http_code}' -H "Host: h.example" \
	    -H "X-Magnoliavalve-Attempt-Id: $get_id" "$@" "$(mesh_url "$get_n" "$get_path")"
}
key() { echo "X-Magnoliavalve-Key: $1"; }

echo "no rules: $(get 1 /work/x r0 -H "$(key secret-a1)")"
mesh_ctl apply --wait test/functional/workspace_keys.mv >"$MESH_DIR/apply" ||
    cat "$MESH_DIR/apply"
mesh_beat 1 i-1 work "$(mesh_host 1):$PORT_HTTP" 1000 1 ready 1 >/dev/null
mesh_wait 20 get 2 /work/open/ready w -f || echo "not served"

for n in 1 2; do
	echo "== proxy $n"
	echo "no key: $(get $n /work/x r1)"
	echo "unknown key: $(get $n /work/x r2 -H "$(key secret-a)")"
	echo "call of nothing that runs: $(get $n /work/x r2.c)"
	echo "public: $(get $n /work/open/$n r3)"
	echo "keys: $(get $n /work/$n/1 r4 -H "$(key secret-a1)")" \
	    "$(get $n /work/$n/2 r5 -H "$(key secret-a2)")" \
	    "$(get $n /work/$n/3 r6 -H "$(key secret-b1)")"
	echo "names another workspace: $(get $n /work/$n/4 r7 -H "$(key secret-b1)" \
	    -H 'X-Magnoliavalve-Tenant: alpha')"
done
echo "== what the server got"
grep -v ready "$MESH_DIR/ran-1" | sed 's/ [0-9]*  */ /'

echo "== a key is withdrawn"
# One request runs, another waits for its slot, and a third comes on a connection
# that was opened before.
get 1 /work/wait=3 q1 -H "$(key secret-b1)" >"$MESH_DIR/q1" &
first=$!
sleep 0.5
get 2 /work/queued q2 -H "$(key secret-a2)" >"$MESH_DIR/q2" &
second=$!
curl -s -m 8 -o /dev/null -w '%{http_code} ' -H 'Host: h.example' \
    -H 'X-Magnoliavalve-Attempt-Id: k1' -H "$(key secret-a2)" \
    "$(mesh_url 2 /work/open/kept)" --next -s -m 8 -o /dev/null --rate 20/m \
    -w '%{http_code} on %{num_connects} new connections\n' -H 'Host: h.example' \
    -H 'X-Magnoliavalve-Attempt-Id: k2' -H "$(key secret-a2)" \
    "$(mesh_url 2 /work/kept)" >"$MESH_DIR/kept" &
third=$!
sleep 0.3
sed 's/^version 1/version 2/; s/,secret-a2//' test/functional/workspace_keys.mv \
    >"$MESH_DIR/v2.mv"
mesh_ctl apply "$MESH_DIR/v2.mv" >"$MESH_DIR/apply" || cat "$MESH_DIR/apply"
wait $first $second $third
cat "$MESH_DIR/kept"
echo "running: $(cat "$MESH_DIR/q1"), queued: $(cat "$MESH_DIR/q2")"
echo "the queued one ran: $(grep -c /work/queued "$MESH_DIR/ran-1")"
echo "withdrawn: $(get 1 /work/x r8 -H "$(key secret-a2)")," \
    "kept: $(get 1 /work/x r9 -H "$(key secret-a1)")"

echo "== no source, and a proxy restarts"
mesh_stop source-1 KILL
mesh_stop proxy-1 KILL
mesh_proxy 1 "$(mesh_region 1)" "$(mesh_dc 1)"
mesh_beat 1 i-1 work "$(mesh_host 1):$PORT_HTTP" 1000 2 ready 1 >/dev/null
before=$(wc -l <"$MESH_DIR/ran-1")
statuses=
for i in $(seq 1 40); do
	statuses="$statuses $(get 1 /work/x s$i -H "$(key secret-a2)")"
	sleep 0.05
done
case $statuses in *200*) echo "served:$statuses" ;; *) echo "never served" ;; esac
[ "$(wc -l <"$MESH_DIR/ran-1")" = "$before" ] && echo "never run"

echo "== no output holds a key"
for n in 1 2; do
	curl -s "http://$(mesh_host $n):$PORT_ADMIN/status" >"$MESH_DIR/status-$n"
	curl -s "http://$(mesh_host $n):$PORT_ADMIN/metrics" >"$MESH_DIR/metrics-$n"
done
(cd "$MESH_DIR" && grep -l secret- -- *.log *.out status-* metrics-* ran-* apply)
mesh_source 1
mesh_wait 10 mesh_ctl status || echo "no status"
mesh_ctl status >"$MESH_DIR/status"
mesh_ctl status --json | grep -c secret-
grep -o 'workspace alpha.*' "$MESH_DIR/status"
