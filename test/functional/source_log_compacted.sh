# The log of sources that accept no version, while their members change, is compacted
# as one of versions is: else its disk fills.
. scripts/mesh.sh
MESH_SOURCES=5
MESH_SOURCE_EXTRA='"compact_every": 10,'
mesh_init "$BUILD"

for n in 1 2 3 4 5; do mesh_forming_source $n true; done
for n in 1 2 3 4 5; do
	mesh_wait 20 mesh_is_voter $n || echo "source $n is no voter"
done
for i in 1 2 3 4 5 6; do
	for n in 4 5; do
		mesh_is_leader $n || mesh_lose_source_disk $n ||
		    echo "source $n is no voter again"
	done
done
for n in 1 2 3; do
	[ -s "$MESH_DIR/source-$n.data/snapshot" ] && echo "source $n has a snapshot"
done
echo "== restarted from a snapshot without a version"
for n in 1 2; do
	mesh_stop source-$n KILL
	mesh_forming_source $n false
	mesh_wait 10 mesh_is_voter $n || echo "source $n is no voter"
done
mesh_wait 10 mesh_ctl apply "$(mesh_version_file 1)" && echo "version 1 is accepted"
