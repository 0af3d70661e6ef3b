# Backend servers that stall: whichever of the two proxies notices the deadline
# first, the caller gets 504 and the outcome unknown.
. scripts/mesh.sh
mesh_init "$BUILD"
mesh_start test/functional/requests.mv 2 work
for n in 1 2; do mesh_fake $n stall=1; done
for i in $(seq 1 120); do
	curl -s -m 5 -o /dev/null -D "$MESH_DIR/head-$i" \
	    "$(mesh_url $((i % 2 + 1)) "/quick/$i")" &
	[ $((i % 20)) = 0 ] && wait_for=$! && sleep 0.15
done
sleep 2.5
for i in $(seq 1 120); do
	tr -d '\r' <"$MESH_DIR/head-$i" | awk '/^HTTP/ { printf "%s ", $2 }
		tolower($1) == "magnolia-outcome:" { print $2 }'
done | sort | uniq -c | awk '{ print $2, $3 }'
