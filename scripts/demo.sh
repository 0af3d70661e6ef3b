#!/bin/sh
# Starts both example deployments, sends requests of each rank through them and
# prints the results.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/mesh.sh
MESH_SOURCES=3
MESH_LEDGERS=3
mesh_init "${1:-build}"

failed=0

# Sends a request and prints a row; an unexpected response fails the demo.
request() { # RANK METHOD PATH NODE EXPECTED [CURL ARG ...]
	rank=$1 method=$2 path=$3 node=$4 expected=$5
	shift 5
	answer=$(curl -s -m 10 -w ' %{http_code} %{time_total}' -X "$method" \
	    "$@" "$(mesh_url "$node" "$path")" | tr '\n' ' ')
	code=$(echo "$answer" | awk '{ print $(NF - 1) }')
	seconds=$(echo "$answer" | awk '{ print $NF }')
	verdict=wrong
	case $answer in
	"$expected"*) [ "$code" = 200 ] && verdict=right ;;
	esac
	[ $verdict = right ] || failed=1
	printf '%-8s %-5s %-18s via n%-2s %-5s %8s s\n' "$rank" "$method" \
	    "$path" "$node" "$verdict" "$seconds"
}

start_deployment() { # RULES REGION1 REGION2 REGION3 SERVICE1 SERVICE2 SERVICE3
	rules=$1
	for i in 1 2 3; do
		mesh_source $i --bootstrap
		mesh_ledger $i --bootstrap
	done
	n=0
	for region in "$2" "$3" "$4"; do
		for dc in 1 2; do
			n=$((n + 1))
			mesh_proxy $n "$region" "$region-$dc"
		done
	done
	n=0
	for service in "$5" "$6" "$7" "$5" "$6" "$7"; do
		n=$((n + 1))
		mesh_backend $n "$service"
	done
	mesh_ctl apply --wait "$rules" >"$MESH_DIR/apply" || failed=1
	head -6 "$MESH_DIR/apply"
}

stop_deployment() {
	for f in "$MESH_DIR"/*.pid; do
		name=$(basename "$f" .pid)
		mesh_stop "$name" || { echo "$name: exit $?"; failed=1; }
	done
	rm -rf "$MESH_DIR"/*.data
}

echo "== Bureau: logdesk, breakbook, spotvault in three regions"
start_deployment examples/bureau.mv north central south \
    logdesk breakbook spotvault
request booking POST /breaks/b1 1 "breakbook POST /breaks/b1 bytes=4 " \
    -H 'Idempotency-Key: d1' --data-binary spot
request booking POST /breaks/b1 6 "breakbook POST /breaks/b1 bytes=4 " \
    -H 'Idempotency-Key: d1' --data-binary spot
request booking GET /breaks/b1 3 "breakbook GET /breaks/b1 "
head -c 300000 /dev/zero >"$MESH_DIR/audio"
request upload PUT /spots/s1 2 "spotvault PUT /spots/s1 bytes=300000 " \
    --data-binary "@$MESH_DIR/audio"
request log GET /log/today 5 "logdesk GET /log/today "
runs=$(for n in 2 5; do
	curl -s "http://$(mesh_host $n):$PORT_HTTP/_fake/runs"
done | awk '$1 == "key" && $2 == "d1" { n += $3 } END { print n + 0 }')
echo "the booking, sent twice under one key, ran $runs time(s)"
[ "$runs" = 1 ] || failed=1
stop_deployment

echo "== Koro Ink: rack, counter, inkwell in three regions"
start_deployment examples/koro.mv westside northside eastside \
    rack counter inkwell
request money POST /checkout 1 "counter POST /checkout bytes=4 " \
    -H 'Idempotency-Key: c1' --data-binary cart
request money POST /royalties 4 "counter POST /royalties bytes=6 " \
    -H 'Idempotency-Key: r1' --data-binary credit
request browse GET /preview/p1 3 "rack GET /preview/p1 "
request upload PUT /chapters/c1 6 "inkwell PUT /chapters/c1 bytes=300000 " \
    --data-binary "@$MESH_DIR/audio"
stop_deployment

if [ $failed = 0 ]; then
	echo "demo: ok"
else
	echo "demo: FAILED"
fi
exit $failed
