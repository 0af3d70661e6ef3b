# LOST: the proxy beside a server gets SIGTERM while far more long answers are asked for
# than its link carries until its process ends. What it has accepted arrives whole, the
# rest was refused and not run.
. scripts/mesh.sh
. test/fakes/downloads.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"limits": {"link_mbps": 4}, "drain": {"stop_s": 5},'
mesh_start test/functional/stop_slow_link.mv 2 other work
mesh_stop backend-2 KILL

mesh_odd_server 2
mesh_announce 2 work
mesh_wait 10 curl -sf -o /dev/null "$(mesh_url 1 /fill/bytes=200000/x)" ||
    echo "not served"
hash=$(curl -s "http://$(mesh_host 2):$PORT_HTTP/x/bytes=200000/x" | md5sum)

# 10 s of the link, and the process ends after 4.75 s.
downloads_start fill 1 /fill/bytes=200000 1 24
some_run() { [ "$(grep -c /fill- "$MESH_DIR/ran-2")" -ge 6 ]; }
mesh_wait 10 some_run || echo "few run"
mesh_stop proxy-2 TERM
downloads_judge fill 1 24 "$hash"
[ "$(downloads_answered fill 1 24)" -ge 6 ] && echo "some answered"
