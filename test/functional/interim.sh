# TWICE, REFUSED: a backend server sends an interim response (1xx) before its answer.
# Nothing that it states counts for the answer, and none of its headers is passed on.
. scripts/mesh.sh
mesh_init "$BUILD"
mesh_start test/functional/refusal_repeated.mv 2 work work
for n in 1 2; do
	mesh_stop backend-$n KILL
	mesh_odd_server $n
	mesh_announce $n work
done
sleep 0.5

for i in $(seq 1 6); do
	status=$(curl -s -m 4 -o /dev/null -D "$MESH_DIR/head" -X POST \
	    -w '%{http_code}' "$(mesh_url 1 "/do/interim=2/$i")")
	echo "$status runs: $(cat "$MESH_DIR"/ran-* | grep -c "/$i ")" \
	    "early: $(grep -ci x-early "$MESH_DIR/head")"
done | sort | uniq -c
