# LOST, by a crash: a request with a method that the proxy does not know. Each method
# that is a token is forwarded unchanged, or refused with a status that names it.
. scripts/mesh.sh
mesh_init "$BUILD"
mesh_start test/functional/methods.mv 2 log log

# The response names the method that the backend server got.
ask() { # METHOD PATH
	curl -s -m 4 -X "$1" -w '%{http_code}\n' "$(mesh_url 1 "$2")" |
	    paste -sd' ' -
}

long=$(printf 'M%.0s' $(seq 1 63))
for method in GET POST SEARCH PROPFIND M-SEARCH get X \
    "0!#\$%&'*+-.^_\`|~9azAZ" "$long"; do
	# Both servers are used: the own one, and one behind another proxy.
	for i in 1 2 3 4 5 6; do
		ask "$method" /log/x
	done | sort -u
done
echo "== on a route for GET only"
ask SEARCH /get/x
echo "== refused"
for method in CONNECT "M$long" "S(H" "S:H"; do ask "$method" /log/x; done
echo "== afterwards"
for n in 1 2; do
	kill -0 "$(mesh_pid proxy-$n)" || echo "proxy $n has ended"
done
ask GET /log/x | grep -o '200$'
