# LOST, REFUSED, TWICE: versions of the rules come into force while requests are in all
# states: one that changes nothing, then one with another rank, less slots and connections,
# other deadlines, and without the route of some and the service of those that are queued.
# All are answered, those that go on without a route by 404. Then versions, SIGHUP and
# SIGTERM overlap.
. scripts/mesh.sh
. test/fakes/planned.sh
mesh_init "$BUILD"
planned_start

planned_more() {
	cat <<'END'
dropped-runs    answer POST /dropped/wait=2/ 0          0:all         -
dropped-answer  answer GET  /dropped/bytes=8000000/ -   0:all         slow=2
dropped-upload  answer POST /dropped/sum=1/ 2000000     0:body,2:rest -
dropped-head    route  POST /dropped/x/     0           0:head,2:rest -
dropped-body    route  POST /dropped/sum=1/ 20000       0:body,2:rest -
END
}
planned_at_work=16

changed_rules() { # VERSION
	sed "s/^version 1 .*/version $1 # op $1/
	    s/^rank log .*/rank low worth=3 target=20s keep=5% # op $1/
	    s/rank=log deadline=40s/rank=low deadline=35s/
	    s/rank=log/rank=low/
	    s/slots=60 connections=200/slots=3 connections=4/
	    /dropped/d; /busy/d" test/functional/planned.mv >"$MESH_DIR/v$1.mv"
	echo "$MESH_DIR/v$1.mv"
}

echo "== two versions"
planned_must=answer
planned_late() {
	planned_apply 3 "$(changed_rules 3)"
}
planned_play rules 2 planned_apply 2 "$(mesh_version_file 2 test/functional/planned.mv)"

echo "== a version, SIGHUP, SIGTERM of all, and another version"
planned_apply 4 "$(mesh_version_file 4 test/functional/planned.mv)"
planned_must=truth
overlap() {
	planned_apply 5 "$(mesh_version_file 5 test/functional/planned.mv)"
	planned_reload "" 1 2 3 4 5 7
	planned_stop 1 2 3 4 5 7
	mesh_ctl apply "$(changed_rules 6)" >"$MESH_DIR/apply" || cat "$MESH_DIR/apply"
}
planned_late() {
	planned_shut 1 2 3 4 5 7
}
planned_play overlap 7 overlap
