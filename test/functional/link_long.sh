# An answer that takes longer than a stop leaves, 3 MB on a link of 4 Mbit/s, is served
# while the link carries nothing else: the second time too, when its length is known.
. scripts/mesh.sh
. test/fakes/planned.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"limits": {"link_mbps": 4}, "drain": {"stop_s": 5},'
mesh_start test/functional/link_long.mv 2 front work
mesh_stop backend-2 KILL
planned_server 2 work
mesh_wait 10 planned_ask 1 /work/x/x || echo "work is not served"
for n in 1 2 3; do
	curl -s -m 30 -o /dev/null -w '%{http_code} %{size_download}\n' \
	    "$(mesh_url 1 /work/bytes=3000000/$n)"
done
