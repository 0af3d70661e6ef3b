# Callers that leave while their request waits for a slot: it is withdrawn, and
# the proxies serve on.
. scripts/mesh.sh
mesh_init "$BUILD"
mesh_start test/functional/caller_leaves.mv 2 work other

leave() { # N: asks at node N and leaves after 0.3 s
	curl -s -m 0.3 -o /dev/null "$(mesh_url "$1" /get/leaves)"
	echo "curl $?"
}

runs() {
	curl -s "http://$(mesh_host 1):$PORT_HTTP/_fake/runs" | head -1
}

mesh_fake 1 stall=1
curl -s -m 9 -o /dev/null "$(mesh_url 1 /get/holds)" &
holder=$!
mesh_wait 5 test "$(mesh_proxy_counter 1 egress_requests_run)" = 1 ||
    sleep 1
echo "== at the proxy next to the backend server"
leave 1
echo "== at another one"
leave 2
sleep 0.3
for n in 1 2; do
	kill -0 "$(mesh_pid proxy-$n)" 2>/dev/null || echo "proxy $n has ended"
	echo "proxy $n: callers gone $(mesh_proxy_counter $n ingress_callers_gone)"
done
echo "== the slot is free again"
mesh_fake 1 stall=0
kill $holder 2>/dev/null
wait $holder 2>/dev/null
for n in 1 2; do
	curl -s -o /dev/null -w '%{http_code}\n' "$(mesh_url $n /get/after)"
done
