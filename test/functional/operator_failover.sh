# A change reaches a follower right after the leader was lost: the follower
# holds it until a new leader is elected, instead of refusing it.
. scripts/mesh.sh
MESH_SOURCES=3
mesh_init "$BUILD"

version=1
operators() { echo "$(mesh_host $((200 + $1))):$PORT_HTTP"; }

leader() {
	for i in 1 2 3; do
		[ "$(mesh_counter "$(operators $i)" replica_is_leader)" = 1 ] &&
		    echo "$i"
	done | head -1
}

# Submits the next version to a follower of a leader that was just lost.
apply_at_follower() { # LEADER
	version=$((version + 1))
	"$MESH_BIN/mvctl" --source "$(operators $(($1 % 3 + 1)))" \
	    apply "$(mesh_version_file $version)"
	echo "exit $?"
}

for i in 1 2 3; do mesh_source $i --bootstrap; done
mesh_wait 20 mesh_reported 0 || echo "no quorum at the start"
mesh_ctl apply "$(mesh_version_file 1)"

echo "== the leader is killed"
lost=$(leader)
mesh_stop "source-$lost" KILL
apply_at_follower "$lost"
mesh_source "$lost"
mesh_wait 20 mesh_reported 0 || echo "no quorum"

echo "== the leader is paused"
lost=$(leader)
kill -STOP "$(mesh_pid "source-$lost")"
apply_at_follower "$lost"
kill -CONT "$(mesh_pid "source-$lost")"

mesh_wait 20 mesh_reported 0 || echo "no quorum"
echo "== every replica shows the newest file"
shown() { curl -s -m 3 "http://$(operators "$1")/rules" | head -1; }
for i in 1 2 3; do shown $i; done
echo "== a follower that missed a version while it was paused does not show an older one"
behind=$(($(leader) % 3 + 1))
kill -STOP "$(mesh_pid "source-$behind")"
version=$((version + 1))
mesh_ctl apply "$(mesh_version_file $version)" >"$MESH_DIR/apply" ||
    cat "$MESH_DIR/apply"
kill -CONT "$(mesh_pid "source-$behind")"
shown $behind

echo "== a follower without a quorum refuses after a limited time"
last=$(leader)
for i in 1 2 3; do
	[ $i = "$last" ] || [ $i = $((last % 3 + 1)) ] || mesh_stop "source-$i" KILL
done
mesh_stop "source-$last" KILL
apply_at_follower "$last" | tail -1
