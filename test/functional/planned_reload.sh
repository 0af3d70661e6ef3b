# LOST, REFUSED, TWICE: SIGHUP of the proxy that takes the requests and of those beside
# the servers, twice, while requests are in all states: with the same settings, then with
# others. All are answered. Where the settings take a server away, work that has begun is
# answered, and all others are, or are refused and have not run.
. scripts/mesh.sh
. test/fakes/planned.sh
mesh_init "$BUILD"
planned_start
all="1 2 3 4 5 6 7"

echo "== SIGHUP of the proxy that takes the requests"
planned_must=answer
planned_late() {
	planned_reload '"service": "front",' 1
}
planned_play ingress 2 planned_reload "" 1

echo "== SIGHUP of those beside the servers"
planned_late() {
	planned_reload '"service": "work",' 2
	planned_reload '"service": "busy",' 3
	planned_reload '"service": "pair",' 4 5
	planned_reload '"service": "held",' 7
}
planned_play server 2 planned_reload "" 2 3 4 5 7

echo "== SIGHUP of all, in the settings of which are other servers"
planned_must=truth
planned_late() {
	# shellcheck disable=SC2086
	planned_reload "" $all
}
for n in $all; do # a key may stand once
	sed -i 's/^{\( "service": "[a-z]*",\)*/{/' "$MESH_DIR/proxy-$n.json"
done
# shellcheck disable=SC2086
planned_play other 7 planned_reload '"service": "other",' $all
