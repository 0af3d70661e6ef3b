# A server is at work while the proxy on its VM leaves, and its work makes a call by that
# proxy: at first, and once the proxy refuses what callers send. Work that has begun is
# answered, which takes its calls.
. scripts/mesh.sh
. test/fakes/planned.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"drain": {"stop_s": 5}, "report_ms": 500,'
mesh_start test/functional/stop_calls.mv 3 front work other
mesh_stop backend-3 KILL
planned_server 3 other
mesh_wait 10 planned_ask 1 /work/x || echo "work is not served"
mesh_wait 10 planned_ask 2 /other/x/x || echo "other is not served"

# Each makes its call when its server has read the body.
cat >"$MESH_DIR/table" <<'END'
early      answer POST /work/x?call=/other/x/        2000000 0:body,1:rest text
late       answer POST /work/x?call=/other/x/        2000000 0:body,2:rest text
late-wait  answer POST /work/x?call=/other/wait=0.5/ 2000000 0:body,2:rest text
late-soon  answer POST /soon/x?call=/other/x/        2000000 0:body,2:rest text
END
mkfifo "$MESH_DIR/marks"
perl test/fakes/planned_caller.pl "$MESH_DIR/table" "$(mesh_host 1):$PORT_OUTER" \
    "$(mesh_host 1):$PORT_INNER" 12 "$MESH_DIR/ran-3" <"$MESH_DIR/marks" \
    >"$MESH_DIR/results" 2>"$MESH_DIR/fates" &
caller=$!
exec 9>"$MESH_DIR/marks"
at_work() { [ "$(mesh_proxy_counter 2 egress_running)" = 4 ]; }
mesh_wait 5 at_work || echo "the server is not at work"
planned_stop 2
echo 1 >&9
planned_shut 2
echo 2 >&9
exec 9>&-
wait $caller
sed 1d "$MESH_DIR/results"
