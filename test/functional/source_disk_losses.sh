# CONFIG, LOST: sources lose their disk one after another, each well after the
# one before is back. The set keeps its quorum and what it accepted, however
# many replica ids it has used up.
. scripts/mesh.sh
MESH_SOURCES=5
LOSSES=${LOSSES:-24}
mesh_init "$BUILD"

version=0
apply_next() {
	version=$((version + 1))
	mesh_wait 10 mesh_ctl apply "$(mesh_version_file $version)" ||
	    echo "version $version is not accepted"
}

for n in 1 2 3 4 5; do mesh_forming_source $n true; done
for n in 1 2 3 4 5; do
	mesh_wait 20 mesh_is_voter $n || echo "source $n is no voter"
done
apply_next

# The leader keeps its disk, so that it meets all the ids.
n=0
losses=0
while [ $losses -lt "$LOSSES" ]; do
	n=$((n % 5 + 1))
	mesh_is_leader $n && continue
	losses=$((losses + 1))
	mesh_lose_source_disk $n || {
		echo "source $n is no voter again after loss $losses"
		break
	}
	apply_next
done
echo "$losses disks lost in turn"
grep -qh 'The last free entry for a stream' "$MESH_DIR"/source-*.log &&
    echo "a source says that it took its last entry"
a=$((n % 5 + 1))
mesh_is_leader $a && a=$((a % 5 + 1))
mesh_stop "source-$n" KILL
mesh_stop "source-$a" KILL
rm -rf "$MESH_DIR/source-$n.data" "$MESH_DIR/source-$a.data"
echo "== two disks lost at once"
apply_next
[ "$(mesh_ctl show | head -1 | grep -o 'version [0-9]*')" = "version $version" ] &&
    echo "the last version is held"
mesh_forming_source "$n" false
mesh_forming_source "$a" false
for n in $n $a; do
	mesh_wait 10 mesh_is_voter $n || echo "source $n is no voter again"
done
apply_next
