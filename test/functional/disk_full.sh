# The disk of each source in turn is full and then has free space again: the
# source exits and recovers after a restart, and the others accept versions in
# the meantime. A limit on the file size simulates the full disk.
. scripts/mesh.sh
MESH_SOURCES=3
mesh_init "$BUILD"

version=0
# Submits the next version; retries until a leader that can write accepts it.
apply_next() {
	version=$((version + 1))
	mesh_wait 15 mesh_ctl apply "$(mesh_version_file $version)" &&
	    echo "version $version is accepted"
}

storage_fails() { # ID
	[ "$(mesh_counter "$(mesh_host $((200 + $1))):$PORT_HTTP" \
	    replica_storage_failed)" = 1 ]
}

for i in 1 2 3; do mesh_source $i --bootstrap; done
mesh_wait 20 mesh_reported 0 || echo "no quorum"
apply_next

for i in 1 2 3; do
	echo "== the disk of source $i is full"
	prlimit --pid "$(mesh_pid source-$i)" --fsize=1:unlimited
	apply_next
	mesh_wait 10 storage_fails $i || echo "source $i does not report the failure"
	echo "== it has free space again"
	prlimit --pid "$(mesh_pid source-$i)" --fsize=unlimited:unlimited
	mesh_wait 10 mesh_has_ended source-$i || echo "source $i does not exit"
	wait "$(mesh_pid source-$i)" 2>/dev/null
	echo "exit code $?"
	mesh_source $i
	mesh_wait 10 mesh_reported 0 || echo "no quorum"
done
echo "== after all three"
apply_next
