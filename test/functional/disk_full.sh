# The disks of all sources fill, one after the other, and have room again: each
# comes back by itself, and the set goes on to accept versions. A limit on the
# size of its files stands in for a full disk.
. scripts/mesh.sh
MESH_SOURCES=3
mesh_init "$BUILD"

version=0
# Submits the next version, again while the set has no leader with a disk.
apply_next() {
	version=$((version + 1))
	mesh_wait 15 mesh_ctl apply "$(mesh_version_file $version)" &&
	    echo "version $version is accepted"
}

storage_fails() { # ID
	[ "$(mesh_counter "$(mesh_host $((200 + $1))):$PORT_HTTP" \
	    replica_storage_failed)" = 1 ]
}

has_ended() { ! kill -0 "$(mesh_pid "source-$1")" 2>/dev/null; }

for i in 1 2 3; do mesh_source $i --bootstrap; done
mesh_wait 20 mesh_reported 0 || echo "not up"
apply_next

for i in 1 2 3; do
	echo "== the disk of source $i is full"
	prlimit --pid "$(mesh_pid source-$i)" --fsize=1:unlimited
	apply_next
	mesh_wait 10 storage_fails $i || echo "source $i does not say so"
	echo "== it has room again"
	prlimit --pid "$(mesh_pid source-$i)" --fsize=unlimited:unlimited
	mesh_wait 10 has_ended $i || echo "source $i does not start anew"
	wait "$(mesh_pid source-$i)" 2>/dev/null
	echo "exit code $?"
	mesh_source $i
	mesh_wait 10 mesh_reported 0 || echo "no quorum"
done
echo "== all have been through it"
apply_next
