# CONFIG, LOST: sources lose their disk one after another, each well after the
# one before is back. The set keeps its quorum and what it accepted, however
# many replica ids it has used up.
. scripts/mesh.sh
MESH_SOURCES=5
LOSSES=${LOSSES:-24}
mesh_init "$BUILD"

# Starts source N of a set that forms itself.
start_source() { # N FIRST_START
	cat >"$MESH_DIR/source-$1.json" <<END
{
  $(mesh_log_json "source-$1"),
  "region": "north", "dc": "north-1", "host": "$(mesh_host $((200 + $1)))",
  "listen": {
    "control": "$(mesh_host $((200 + $1))):$PORT_CONTROL",
    "operators": "$(mesh_host $((200 + $1))):$PORT_HTTP"
  },
  "data_path": "$MESH_DIR/source-$1.data",
  "cluster": "mesh", "tolerated": 2, "first_start": $2,
  "seeds": ["$(mesh_host 201):$PORT_CONTROL", "$(mesh_host 202):$PORT_CONTROL",
      "$(mesh_host 203):$PORT_CONTROL"],
  "election_ms": 400, "heartbeat_ms": 60
}
END
	mesh_run "source-$1" mvsource "$MESH_DIR/source-$1.json"
}

# Replica id of source N.
replica_id() { # N
	curl -s -m 2 "http://$(mesh_host $((200 + $1))):$PORT_HTTP/status" |
	    grep -o '"replica": *[0-9]*' | grep -o '[0-9]*$'
}

# Succeeds if source N is one of five voters.
is_voter() { # N
	is_voter_text=$(mesh_ctl status --json | tr -d ' \n')
	[ "$(echo "$is_voter_text" | grep -o '"id":[0-9]*' | wc -l)" = 5 ] &&
	    echo "$is_voter_text" | grep -q "\"id\":$(replica_id "$1"),"
}

is_leader() { # N
	[ "$(mesh_counter "$(mesh_host $((200 + $1))):$PORT_HTTP" \
	    replica_is_leader)" = 1 ]
}

# Makes a source lose its disk. The others keep theirs, so that one leader
# meets all the ids.
lose_disk() { # N
	mesh_stop "source-$1" KILL
	rm -rf "$MESH_DIR/source-$1.data"
	start_source "$1" false
	mesh_wait 10 is_voter "$1"
}

version=0
apply_next() {
	version=$((version + 1))
	mesh_wait 10 mesh_ctl apply "$(mesh_version_file $version)" ||
	    echo "version $version is not accepted"
}

for n in 1 2 3 4 5; do start_source $n true; done
for n in 1 2 3 4 5; do
	mesh_wait 20 is_voter $n || echo "source $n is no voter"
done
apply_next

n=0
losses=0
while [ $losses -lt "$LOSSES" ]; do
	n=$((n % 5 + 1))
	is_leader $n && continue
	losses=$((losses + 1))
	lose_disk $n || {
		echo "source $n is no voter again after loss $losses"
		break
	}
	apply_next
done
echo "$losses disks lost in turn"
a=$((n % 5 + 1))
is_leader $a && a=$((a % 5 + 1))
mesh_stop "source-$n" KILL
mesh_stop "source-$a" KILL
rm -rf "$MESH_DIR/source-$n.data" "$MESH_DIR/source-$a.data"
echo "== two disks lost at once"
apply_next
[ "$(mesh_ctl show | head -1 | grep -o 'version [0-9]*')" = "version $version" ] &&
    echo "the last version is held"
start_source "$n" false
start_source "$a" false
for n in $n $a; do
	mesh_wait 10 is_voter $n || echo "source $n is no voter again"
done
apply_next
