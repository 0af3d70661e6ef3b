# MIXED: a backend server answers an upload before it has read it, without a length,
# and resets the connection in the middle of its answer. The client never gets the part
# as a whole answer; one that is whole is passed on.
. scripts/mesh.sh
mesh_init "$BUILD"
mesh_start test/functional/early_answers.mv 2 other work
mesh_stop backend-2 KILL

mesh_odd_server 2
mesh_announce 2 work
sleep 0.5
head -c 20000000 /dev/zero >"$MESH_DIR/body"

for n in 1 2; do
	for kind in whole cut; do
		options=early=1,bytes=9000,framing=none
		[ $kind = whole ] || options=$options,cut=5000
		for framing in length chunked; do
			[ $framing = chunked ] &&
			    set -- -H "Transfer-Encoding: chunked" || set --
			for i in 1 2 3 4 5; do
				curl -s -m 8 -H "Expect:" "$@" \
				    -o "$MESH_DIR/answer" -w '%{http_code} %{exitcode}' \
				    --data-binary @"$MESH_DIR/body" \
				    "$(mesh_url $n /up/$options/$i)" >"$MESH_DIR/end"
				case "$(cat "$MESH_DIR/end")" in
				"200 0") echo "answered, $(wc -c <"$MESH_DIR/answer") bytes" ;;
				*) echo "not whole" ;;
				esac
			done | sort | uniq -c | sed "s/^ */proxy $n, $kind, $framing: /"
		done
	done
done
