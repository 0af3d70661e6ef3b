# Responses to callers when connections, backend servers, proxies or the callers
# themselves fail.
. scripts/mesh.sh
MESH_SOURCES=1
MESH_PROXY_EXTRA='"report_ms": 500, "drain": {"announce_ms": 500, "limit_ms": 20000},'
mesh_init "$BUILD"
mesh_start test/functional/requests.mv 6 work

ask() { # N METHOD PATH [CURL ARG ...] -> status, outcome, error of curl
	node=$1 method=$2 path=$3
	shift 3
	curl -s -m 9 -X "$method" "$@" -D "$MESH_DIR/head" \
	    -o "$MESH_DIR/answer" -w '%{http_code}' \
	    "$(mesh_url "$node" "$path")" >"$MESH_DIR/code"
	rc=$?
	printf '%s' "$(cat "$MESH_DIR/code")"
	tr -d '\r' <"$MESH_DIR/head" | awk 'tolower($1) == "magnolia-outcome:" {
		printf " %s", $2 }'
	[ $rc = 0 ] || printf ' curl %s' $rc
	echo
}

load() { # SEED CLASS ... -> unexpected results
	seed=$1
	shift
	# shellcheck disable=SC2046
	"$MESH_BIN/mvload" $(mesh_load_args 6) -w 0 -d 4 -s "$seed" "$@" \
	    >"$MESH_DIR/load" 2>&1
	awk '/ sent / { for (i = 2; i < NF; i += 2)
		if ($i ~ /late|not_run|refused|unknown|wrong|error/ && $(i + 1) > 0)
			printf "%s %s %s\n", $1, $i, $(i + 1) }
	    /^keys/ { sub(/keys [0-9]* /, ""); print }' "$MESH_DIR/load"
}

for_all() { for n in 1 2 3 4 5 6; do mesh_fake $n "$1"; done; }

GET=name=get,path=/get/,rate=100,target=3000
PUT=name=put,method=PUT,path=/put/,rate=30,body=200000,target=3000

echo "# a long response arrives whole, a truncated one never looks complete"
for_all response_bytes=3000000
ask 1 GET /get/long
wc -c <"$MESH_DIR/answer"
md5sum <"$MESH_DIR/answer" | cut -c1-8
for_all cut_at_bytes=1000000
ask 2 GET /get/long
echo "# a short truncated response is not passed on"
for_all response_bytes=2000
for_all cut_at_bytes=1000
ask 3 PUT /put/short --data-binary x
for_all response_bytes=0
for_all cut_at_bytes=0
echo "# a large upload arrives whole"
head -c 20000000 /dev/zero | tr '\0' 'a' >"$MESH_DIR/audio"
ask 4 PUT /put/audio --data-binary "@$MESH_DIR/audio"
cut -d' ' -f1-4 "$MESH_DIR/answer"
echo "# a chunked upload without a Content-Length"
ask 5 PUT /put/audio -H 'Transfer-Encoding: chunked' \
    --data-binary "@$MESH_DIR/audio"
cut -d' ' -f1-4 "$MESH_DIR/answer"

echo "# backend servers shed all requests: refused as not run"
for_all shed=1
ask 1 GET /get/x
ask 1 PUT /put/x --data-binary x
for_all shed=0
sleep 3
echo "# backend servers stall: a response at the deadline"
for_all stall=1
ask 2 GET /quick/x
ask 2 PUT /quick/x --data-binary x
for_all stall=0
# The failure average from the stall decays with a half-life of 2 s.
sleep 10
echo "# one backend server fails: its responses are passed on, then it is avoided"
mesh_fake 2 fail=1
for i in $(seq 1 200); do
	curl -s -o /dev/null -w '%{http_code}\n' -X PUT -d x \
	    "$(mesh_url 2 /put/$i)"
done | sort | uniq -c | awk '{ print $2, ($2 == 500 && $1 <= 30) || $2 == 200 }'
echo "# safe requests that fail there are served by another one"
for i in $(seq 1 100); do
	curl -s -o /dev/null -w '%{http_code}\n' "$(mesh_url 2 /get/$i)"
done | sort | uniq -c | awk '{ print $2, $1 }'
mesh_fake 2 fail=0

echo "# a drain under load"
(
	sleep 1
	curl -s -X POST "http://$(mesh_host 3):$PORT_HTTP/_fake/drain" \
	    >/dev/null
) &
load 11 -c $GET -c $PUT
echo "# SIGTERM to a proxy under load: callers of the others see no errors"
(
	sleep 1
	mesh_stop proxy-4
) &
# shellcheck disable=SC2046
"$MESH_BIN/mvload" $(for n in 1 2 5 6; do
	printf -- '-t %s:%s ' "$(mesh_host $n)" $PORT_OUTER
done) -w 0 -d 4 -s 12 -c $GET -c $PUT >"$MESH_DIR/load"
awk '/ sent / { for (i = 2; i < NF; i += 2)
	if ($i ~ /late|not_run|refused|unknown|wrong|error/ && $(i + 1) > 0)
		print $1, $i, $(i + 1) }' "$MESH_DIR/load"
mesh_proxy 4 "$(mesh_region 4)" "$(mesh_dc 4)"
mesh_wait 20 mesh_proxy_has 4 1
echo "# SIGTERM to a proxy with a request in progress: it responds before it exits"
for_all service_us=1500000
ask 5 GET /get/slow >"$MESH_DIR/slow" &
slow=$!
sleep 0.3
mesh_stop proxy-5
echo "exit $?"
wait $slow
cat "$MESH_DIR/slow"
for_all service_us=0
mesh_proxy 5 "$(mesh_region 5)" "$(mesh_dc 5)"
mesh_wait 20 mesh_proxy_has 5 1

echo "# a paused proxy: safe requests go elsewhere"
kill -STOP "$(mesh_pid proxy-6)"
# shellcheck disable=SC2046
"$MESH_BIN/mvload" $(for n in 1 2 3 4 5; do
	printf -- '-t %s:%s ' "$(mesh_host $n)" $PORT_OUTER
done) -w 0 -d 4 -s 13 -c $GET >"$MESH_DIR/load"
awk '/ sent / { for (i = 2; i < NF; i += 2)
	if ($i ~ /not_run|refused|unknown|wrong|error/ && $(i + 1) > 0)
		print $1, $i, $(i + 1) }' "$MESH_DIR/load"
kill -CONT "$(mesh_pid proxy-6)"

echo "# nested calls, seven deep, keep rank and deadline"
path=/get/end
for i in 1 2 3 4 5 6; do path="/deep/$i?call=$path"; done
curl -s -m 9 "$(mesh_url 1 "$path")" | sed 's/?call.* bytes/ bytes/'
# Log lines are written shortly after the response.
mesh_wait 5 grep -q 'Ran GET /get/end' "$MESH_DIR"/backend-*.log
grep -h 'Ran GET /get/end' "$MESH_DIR"/backend-*.log | grep -o 'rank [a-z]*'
grep -h 'Ran GET /get/end' "$MESH_DIR"/backend-*.log |
    awk '{ print ($NF + 0 > 0 && $NF + 0 <= 5000) ? "deadline kept" : $0 }'
echo "# rank and deadline set by outside callers are ignored"
curl -s -m 9 -H 'Magnolia-Rank: high' -H 'Magnolia-Deadline-Ms: 1' \
    "$(mesh_url 1 /get/forged)"

echo "# oversized and malformed input"
head -c 100000 /dev/zero | tr '\0' 'h' >"$MESH_DIR/huge"
curl -s -m 9 -o /dev/null -w '%{http_code}\n' -H "X: $(cat "$MESH_DIR/huge")" \
    "$(mesh_url 1 /get/x)"
curl -s -m 9 -X PUT -H 'Content-Length: 99999999999' --data-binary x \
    -o /dev/null -w '%{http_code}\n' "$(mesh_url 1 /put/x)"
for port in $PORT_PEER $PORT_CONTROL; do
	head -c 5000 /dev/urandom |
	    timeout 2 curl -s -m 1 -T - "telnet://$(mesh_host 1):$port" \
		>/dev/null 2>&1
	printf '\377\377\377\377' |
	    timeout 2 curl -s -m 1 -T - "telnet://$(mesh_host 1):$port" \
		>/dev/null 2>&1
done
ask 1 GET /get/after
