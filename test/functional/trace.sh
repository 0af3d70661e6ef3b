# Traces requests by their ids through the logs of the proxies, and reports the
# counters of a fleet.
. scripts/mesh.sh
MESH_LOG_JSON=true
mesh_init "$BUILD"
mesh_start test/functional/plain.mv 2 log

ask() { # ID PATH [CURL ARG ...]
	id=$1
	path=$2
	shift 2
	curl -s -o /dev/null -w '%{http_code}\n' -H "Magnolia-Request-Id: $id" \
	    "$@" "$(mesh_url 1 "$path")"
}

# Succeeds if the logs hold at least COUNT lines of a request.
has_lines() { # ID COUNT
	[ "$(cat "$MESH_DIR"/proxy-*.log | grep -c "\"$1\"")" -ge "$2" ]
}

# Prints the trace of a request without the values that differ between runs:
# times, loads and processes.
show() { # ID COUNT
	mesh_wait 5 has_lines "$1" "$2" || echo "lines are missing"
	"$MESH_BIN/mvctl" trace "$1" "$MESH_DIR"/proxy-*.log | sed -E \
	    -e 's/backend=[0-9.:]+/backend=A/' -e 's/^ +-?[0-9.]+ ms/T ms/' -e 's/proxy-[0-9].log/PROXY/' \
	    -e 's/(to|from|tried)=n[0-9]/\1=N/g' -e 's/ +/ /g' \
	    -e 's/from [0-9T:.Z-]+$/from T/' -e 's/=-?[0-9]+\.[0-9]/=N/g' \
	    -e 's/(cost_permille|load|running|queued|own_requests_there)=[0-9]+/\1=N/g' \
	    -e 's/ load_age_ms=N//' -e '/^clock of/d'
}

echo "== served"
ask served-1 /log/today
show served-1 3
echo "== no route"
ask lost-1 /nowhere
show lost-1 1
echo "== every backend server sheds"
for n in 1 2; do mesh_fake $n shed=1; done
ask shed-1 /log/today
show shed-1 9
for n in 1 2; do mesh_fake $n shed=0; done
echo "== a request id that is in no log"
"$MESH_BIN/mvctl" trace nobody "$MESH_DIR"/proxy-*.log
echo "exit $?"
echo "== a log file that does not exist"
"$MESH_BIN/mvctl" trace served-1 /nowhere.log
echo "exit $?"
echo "== counters of the fleet"
"$MESH_BIN/mvctl" report "$(mesh_host 1):$PORT_ADMIN" \
    "$(mesh_host 2):$PORT_ADMIN" >"$MESH_DIR/report"
echo "exit $?"
sed -n '1p' "$MESH_DIR/report"
grep -c '^127' "$MESH_DIR/report"
grep '^rank log' "$MESH_DIR/report"
echo "== a process that does not respond"
"$MESH_BIN/mvctl" report "$(mesh_host 99):$PORT_ADMIN" >/dev/null
echo "exit $?"
echo "== metrics"
curl -s "http://$(mesh_host 1):$PORT_ADMIN/metrics" |
    grep -E '^(# TYPE )?magnolia_(ingress_requests|config_version|request_seconds_count)'
curl -s "http://$(mesh_host 201):$PORT_HTTP/metrics" |
    grep -E '^magnolia_source_version'
