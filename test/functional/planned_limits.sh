# LOST: a version of the rules lowers the limits on callers below what requests in
# progress need: size of the head and of the body, time for the head, idle time. Work that
# has begun is answered; bodies that are not yet passed on may be refused.
. scripts/mesh.sh
. test/fakes/planned.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"report_ms": 500,'
mesh_start test/functional/planned_collect.mv 2 front work
mesh_stop backend-2 KILL
planned_server 2 work
mesh_wait 10 curl -sf -o /dev/null -d x "$(mesh_url 1 /work/x/x)" || echo "not served"

cat >"$MESH_DIR/table" <<'END'
head        limit  POST /work/x/         0               0:head,2:rest -
length      limit  POST /work/sum=1/     20000           0:body,2:rest -
chunked     limit  POST /work/sum=1/     chunked:20000   0:body,2:rest -
upload      answer POST /work/sum=1/     2000000         0:body,2:rest -
pieces      answer POST /work/sum=1/     chunked:2000000 0:body,2:rest -
running     answer POST /work/wait=2.5/  0               0:all         -
answer      answer POST /work/bytes=8000000/ 0           0:all         slow=2
new         limit  POST /work/sum=1/     20000           1:all         -
idle        limit  POST /work/x/         0               2:all         kept
END
mkfifo "$MESH_DIR/marks"
perl test/fakes/planned_caller.pl "$MESH_DIR/table" "$(mesh_host 1):$PORT_OUTER" \
    "$(mesh_host 1):$PORT_INNER" 12 "$MESH_DIR/ran-2" <"$MESH_DIR/marks" \
    >"$MESH_DIR/results" 2>"$MESH_DIR/fates" &
caller=$!
exec 9>"$MESH_DIR/marks"
at_work() { [ "$(mesh_proxy_counter 2 egress_running)" = 4 ]; }
mesh_wait 5 at_work || echo "the server is not at work"
sed 's/^version 1 .*/version 2 # op 2\
limits headers=500 body=10000 header_timeout=600ms idle_timeout=1s # op 2/' \
    test/functional/planned_collect.mv >"$MESH_DIR/v2.mv"
mesh_ctl apply "$MESH_DIR/v2.mv" >"$MESH_DIR/apply" || cat "$MESH_DIR/apply"
for n in 1 2; do
	mesh_wait 5 mesh_proxy_has $n 2 || echo "proxy $n has no version 2"
done
echo 1 >&9
sleep 1.5 # longer than the new limits
echo 2 >&9
exec 9>&-
wait $caller
sed 1d "$MESH_DIR/results"
