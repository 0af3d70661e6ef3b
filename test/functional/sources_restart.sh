# All sources and a proxy are killed and start again: the proxy gets the newest
# version, and no notice of the older ones that the sources read from their logs.
. scripts/mesh.sh
MESH_SOURCES=3
mesh_init "$BUILD"
mesh_start test/functional/plain.mv 1 log
for v in $(seq 2 20); do
	mesh_ctl apply "$(mesh_version_file "$v")" >"$MESH_DIR/apply" ||
	    cat "$MESH_DIR/apply"
done
for name in proxy-1 source-1 source-2 source-3; do mesh_stop $name KILL; done
mesh_proxy 1 "$(mesh_region 1)" "$(mesh_dc 1)"
for i in 1 2 3; do mesh_source "$i"; done
mesh_wait 20 mesh_proxy_has 1 20 || echo "the proxy lacks version 20"
notices=0
for i in 1 2 3; do
	n=$(mesh_counter "$(mesh_host $((200 + i))):$PORT_HTTP" source_notices)
	notices=$((notices + ${n:-0}))
done
[ $notices -le 2 ] && echo "few notices" || echo "$notices notices"
