# Answers that end incomplete: the log of the proxy that the caller asked says why, and
# what a process still held when it ended.
. scripts/mesh.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"limits": {"link_mbps": 4}, "drain": {"announce_ms": 300, "limit_ms": 1500},'
mesh_start test/functional/cut_answers.mv 2 other work
mesh_stop backend-2 KILL
mesh_odd_server 2
mesh_announce 2 work
mesh_wait 10 curl -sf -o /dev/null "$(mesh_url 1 /work/bytes=3/x)" ||
    echo "not served"

get() { # ID PATH
	curl -s -m 30 -o /dev/null -w '%{http_code} %{exitcode}\n' \
	    -H "Magnolia-Request-Id: $1" "$(mesh_url 1 "$2")" |
	    sed 's/^200 [1-9][0-9]*$/cut/; s/^000 [1-9][0-9]*$/closed/'
}

# The last line of a request at proxy 1: how its answer ended, and why.
last() { # ID
	grep "request=\"$1\" " "$MESH_DIR/proxy-1.log" | tail -n 1
}

has_ended() { last "$1" | grep -qE "ended|closed|ends before"; } # ID

told() { # ID
	mesh_wait 5 has_ended "$1" || echo "no line"
	last "$1" | sed -E 's/.*ingress: (.*\.) request=.*/\1 &/
		s/^(.*\.) [0-9]{4}-.*(why="[^"]*").*/\1 \2/; s/^(.*\.) [0-9]{4}-.*/\1/'
}

begun() { grep -q "Passed an answer on.*request=\"$1\" " "$MESH_DIR/proxy-1.log"; } # ID

echo "== the server breaks off"
get broken /work/bytes=200000,cut=90000/x
told broken
echo "== the deadline passes"
get late /work/bytes=1500000/x
told late
echo "== the caller leaves"
curl -s -m 0.5 -o /dev/null -H "Magnolia-Request-Id: left" \
    "$(mesh_url 1 /work/bytes=1900000/x)"
told left | sed "s, why=.*,,"
echo "== the other proxy is killed"
get killed /work/bytes=2000000/x &
pid=$!
mesh_wait 10 begun killed || echo "not begun"
mesh_stop proxy-2 KILL
wait $pid
told killed

mesh_proxy 2 "$(mesh_region 2)" "$(mesh_dc 2)"
mesh_wait 10 mesh_proxy_has 2 1
mesh_announce 2 work
mesh_wait 10 curl -sf -o /dev/null "$(mesh_url 1 /work/bytes=3/x)" ||
    echo "not served"
echo "== this proxy stops"
get stopped /work/wait=20,bytes=3/x &
pid=$!
mesh_wait 10 grep -q "Sent to a backend server.*request=\"stopped\" " \
    "$MESH_DIR/proxy-1.log"
mesh_stop proxy-1 TERM
wait $pid
told stopped
grep -o "Stops with requests in progress.*" "$MESH_DIR/proxy-1.log"
