# A server at which no request is at work calls others by the proxy of its VM, which
# leaves: a job of its own. While an earlier request of a caller is still answered, its
# call is answered too, or refused and has not run.
. scripts/mesh.sh
. test/fakes/planned.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"drain": {"stop_s": 5}, "report_ms": 500,'
mesh_start test/functional/stop_jobs.mv 2 front other
mesh_stop backend-2 KILL
planned_server 2 other
mesh_wait 10 planned_ask 1 /other/x/x || echo "other is not served"

cat >"$MESH_DIR/table" <<'END'
caller    answer GET  /other/wait=4/ - 0:all -
job       truth  POST /other/x/      0 2:all inner,kept
job-long  truth  POST /other/wait=9/ 0 2:all inner,kept
END
mkfifo "$MESH_DIR/marks"
perl test/fakes/planned_caller.pl "$MESH_DIR/table" "$(mesh_host 1):$PORT_OUTER" \
    "$(mesh_host 1):$PORT_INNER" 12 "$MESH_DIR/ran-2" <"$MESH_DIR/marks" \
    >"$MESH_DIR/results" 2>"$MESH_DIR/fates" &
caller=$!
exec 9>"$MESH_DIR/marks"
has_run() { grep -q /caller "$MESH_DIR/ran-2"; }
mesh_wait 5 has_run || echo "the request of the caller is not at work"
planned_stop 1
planned_shut 1
echo 2 >&9
exec 9>&-
wait $caller
sed 1d "$MESH_DIR/results"
