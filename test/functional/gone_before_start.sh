# GONE: a request and its cancel reach an egress together, after a delay. The
# backend server must not get the request.
. scripts/mesh.sh
mesh_init "$BUILD"
mesh_start test/functional/gone.mv 2 work other

runs() {
	curl -s "http://$(mesh_host 1):$PORT_HTTP/_fake/runs" | head -1
}

# The stream between the proxies is open.
curl -s -o /dev/null "$(mesh_url 2 /get/first)"
echo "== at first: $(runs)"
for method in GET POST; do
	kill -STOP "$(mesh_pid proxy-1)"
	curl -s -m 0.2 -o /dev/null -X $method "$(mesh_url 2 /get/leaves)"
	echo "$method: curl $?"
	sleep 0.25
	kill -CONT "$(mesh_pid proxy-1)"
	sleep 0.5
	echo "after it: $(runs)"
done
echo "== the proxies serve on"
curl -s -o /dev/null -w '%{http_code}\n' "$(mesh_url 2 /get/last)"
