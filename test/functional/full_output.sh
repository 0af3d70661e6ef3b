# A proxy whose standard output is a pipe that nobody reads: it serves on, and
# counts the lines that it drops.
. scripts/mesh.sh
MESH_LOG_LEVEL=debug
mesh_init "$BUILD"
mesh_start test/functional/plain.mv 1 log
mesh_stop proxy-1
sed -i 's|"path":"[^"]*",||' "$MESH_DIR/proxy-1.json"
mkfifo "$MESH_DIR/pipe"
exec 9<>"$MESH_DIR/pipe"
"$MESH_BIN/mvproxy" "$MESH_DIR/proxy-1.json" >&9 2>&9 &
echo $! >"$MESH_DIR/proxy-1.pid"
mesh_wait 20 mesh_proxy_has 1 1 || echo "the proxy is not ready"
sleep 1.5
"$MESH_BIN/mvload" -t "$(mesh_host 1):$PORT_OUTER" \
    -b "$(mesh_host 1):$PORT_HTTP" -w 0 -d 4 -s 3 \
    name=log,path=/log/,rate=300,target=2000 >"$MESH_DIR/load" 2>&1
awk '/ sent / { for (i = 2; i < NF; i += 2)
	if ($i ~ /late|not_run|refused|unknown|wrong|error/ && $(i + 1) > 0)
		printf "%s %s %s\n", $1, $i, $(i + 1) }' "$MESH_DIR/load"
kill -0 "$(mesh_pid proxy-1)" 2>/dev/null || echo "the proxy has ended"
[ "$(mesh_proxy_counter 1 log_lines_dropped)" -gt 0 ] &&
    echo "lines were dropped"
curl -s -o /dev/null -w '%{http_code}\n' "$(mesh_url 1 /log/x)"
