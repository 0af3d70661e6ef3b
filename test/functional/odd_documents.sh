# CONFIG, processes that end: an operator's document with fields at and beyond their
# ends. What is accepted reads back as it was sent; what is not is refused whole.
. scripts/mesh.sh
MESH_SOURCE_EXTRA='"dialect": "platform",'
MESH_PROXY_EXTRA='"report_ms": 500,'
mesh_init "$BUILD"
mesh_source 1 --bootstrap
mesh_proxy 1 "$(mesh_region 1)" "$(mesh_dc 1)"
mesh_wait 10 mesh_reported 1 || echo "the proxy did not report"
perl test/fakes/odd_documents.pl "$(mesh_host 201):$PORT_HTTP"
for name in source-1 proxy-1; do
	kill -0 "$(mesh_pid $name)" || echo "$name has ended"
done
