# GONE: a proxy reads requests late, after their callers have left. It must not send
# them on.
. scripts/mesh.sh
mesh_init "$BUILD"
mesh_start test/functional/gone.mv 2 work other

runs() {
	curl -s "http://$(mesh_host 1):$PORT_HTTP/_fake/runs" | head -1
}

curl -s -o /dev/null "$(mesh_url 2 /get/first)"
echo "== at first: $(runs)"
for method in GET POST; do
	kill -STOP "$(mesh_pid proxy-2)"
	curl -s -m 0.2 -o /dev/null -X $method "$(mesh_url 2 /get/leaves)"
	echo "$method: curl $?"
	kill -CONT "$(mesh_pid proxy-2)"
	sleep 0.5
	echo "after it: $(runs)"
done
echo "dropped: $(mesh_proxy_counter 2 http_requests_abandoned)"
echo "== the proxies serve on"
curl -s -o /dev/null -w '%{http_code}\n' "$(mesh_url 2 /get/last)"
