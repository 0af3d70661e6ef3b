# LOST, DENIED: heads near their limits, and numbers in them near theirs. Each request
# is served or answered, none is refused for the number of its headers.
# UNASKED, MIXED: heads that two readers understand differently. What reaches a server or
# a caller is read in one way, through one proxy or two, or the request is refused.
. scripts/mesh.sh
MESH_PROXY_EXTRA='"report_ms": 500, "dialect": "platform", "lease_ms": 60000,'
mesh_init "$BUILD"
mesh_source 1 --bootstrap
for n in 1 2 3; do mesh_proxy $n "$(mesh_region $n)" "$(mesh_dc $n)"; done
mesh_odd_server 1
for n in 2 3; do
	perl -Itest/fakes test/fakes/head_reader.pl "$(mesh_host $n)" $PORT_HTTP i-$n \
	    test/functional/odd_answers.heads >"$MESH_DIR/read-$n" &
	echo $! >"$MESH_DIR/server-$n.pid"
done
mesh_wait 20 mesh_reported 3 || echo "the proxies did not report"
mesh_ctl apply --wait test/functional/odd_heads.mv >"$MESH_DIR/apply" ||
    cat "$MESH_DIR/apply"
beat_all() { # SEQUENCE
	n=0
	for service in work near far; do
		n=$((n + 1))
		mesh_beat $n i-$n $service "$(mesh_host $n):$PORT_HTTP" 1000 "$1" >/dev/null
	done
}
beat_all 1
n=0
n=0
ask() { # OPTIONS [ARGUMENT OF CURL ...]
	n=$((n + 1))
	options=$1
	shift
	curl -s -m 4 -o /dev/null -D "$MESH_DIR/head" -w '%{http_code}' \
	    -H "X-Magnoliavalve-Attempt-Id: a$n" "$@" \
	    "$(mesh_url 1 "/work/$options/$n")"
}
mesh_wait 10 sh -c "curl -sf -o /dev/null -H 'X-Magnoliavalve-Attempt-Id: 0' \
    $(mesh_url 1 /work/x)" || echo "not served"

# Headers of a request, as a file for curl.
write_headers() { # COUNT VALUE_BYTES
	perl -e 'print "X-H-$_: " . "v" x $ARGV[1] . "\n" for 1 .. $ARGV[0]' \
	    "$1" "$2" >"$MESH_DIR/headers"
}

echo "== deadlines"
for left in 1000 9007199254740993 9223372036854775 9223372036854776 \
    9223372036854775807 9223372036854775808 99999999999999999999999 -1 0 x ''; do
	echo "${left:-none}: $(ask x -H "X-Magnoliavalve-Deadline-Ms: $left")"
done
echo "== Keep-Alive of the server"
for keep in timeout=5 timeout=0 timeout=-1 timeout=9223372036854775807 \
    timeout=99999999999999999999 timeout= max=3 ''; do
	echo "${keep:-none}: $(ask "keep=$keep") $(ask "keep=$keep")"
done
echo "== request headers"
for count in 100 128 129 200 400; do
	write_headers $count 3
	echo "$count: $(ask "x" -H @"$MESH_DIR/headers"), arrived" \
	    "$(tail -1 "$MESH_DIR/ran-1" | awk -v c=$count '{
		print($3 >= c ? "all" : $3) }')"
done
echo "== response headers"
for count in 100 159 161 300; do
	echo "$count: $(ask "headers=$count"), passed on" \
	    "$(grep -c X-Filler "$MESH_DIR/head")"
done
echo "== large heads together: request, response"
for pair in "1 8000" "15 8000" "15 12000" "15 15900" "15 16000" "8 24000" "15 30000" "1 60000"; do
	set -- $pair
	write_headers "$1" 1000
	echo "$1 kB, $2 bytes: $(ask "header=$2" -H @"$MESH_DIR/headers")"
done
kill -0 "$(mesh_pid proxy-1)" || echo "the proxy has ended"

# Sends each request of a table to both servers through proxy 2, and prints what the
# caller and the first server got, and where the second one's differs.
play_table() { # TABLE [OPTION]
	for service in near far; do
		mesh_wait 10 curl -sf -o /dev/null -H 'X-Magnoliavalve-Attempt-Id: 0' \
		    "$(mesh_url 2 /$service/x)" || echo "$service is not served"
	done
	: >"$MESH_DIR/read-2"
	: >"$MESH_DIR/read-3"
	for service in near far; do
		perl -Itest/fakes test/fakes/raw_client.pl "$(mesh_host 2):$PORT_OUTER" \
		    $service ${2:-} <"$1" >"$MESH_DIR/got-$service"
	done
	for service in near far; do
		awk -v s="/$service/" 'NR == FNR {
			k = substr($2, length(s) + 1); $1 = $2 = "";
			sub(/^answer-/, "", k); sub(/[#\\].*/, "", k);
			ran[k] = ran[k] $0; next }
		    { print $0 ran[$1]; delete ran[$1] }
		    END { for (k in ran) print "not asked:", k, ran[k] }' \
		    "$MESH_DIR/read-$([ $service = near ] && echo 2 || echo 3)" \
		    "$MESH_DIR/got-$service" >"$MESH_DIR/all-$service"
	done
	cat "$MESH_DIR/all-near"
	sed 's/from=near/from=far/' "$MESH_DIR/all-near" |
	    diff - "$MESH_DIR/all-far" >/dev/null ||
	    diff "$MESH_DIR/all-near" "$MESH_DIR/all-far"
}
echo "== requests: answer, and what the server read"
play_table test/functional/odd_heads.heads
beat_all 2
echo "== answers"
play_table test/functional/odd_answers.heads -get
for n in 1 2 3; do kill -0 "$(mesh_pid proxy-$n)" || echo "proxy $n has ended"; done
