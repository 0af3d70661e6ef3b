# A session of an operator and some callers with a new mesh: a rule file with
# errors, a valid one, requests of each rank, conflicting changes, the status
# and a graceful shutdown.
. scripts/mesh.sh
MESH_SOURCES=1
MESH_LEDGERS=1
mesh_init "$BUILD"

echo "# start: three regions, a proxy in each data centre"
mesh_source 1 --bootstrap
mesh_ledger 1 --bootstrap
n=0
for region in north central south; do
	for dc in 1 2; do
		n=$((n + 1))
		mesh_proxy $n $region $region-$dc
	done
done
n=0
for service in logdesk breakbook spotvault logdesk breakbook spotvault; do
	n=$((n + 1))
	mesh_backend $n $service
done
mesh_wait 20 mesh_reported 6 || echo "the proxies did not report"

echo "# before the first rule file"
mesh_ctl status
mesh_ctl show
curl -s -w '%{http_code}\n' "$(mesh_url 1 /log/today)"

echo "# a rule file with errors is refused as a whole"
cat >"$MESH_DIR/bad.mv" <<'END'
version 1 # Lin
rank log worth=1 target=2s
service logdesk slots=20 connections=100 # Chen
route GET /log/* logdsk rank=log deadline=5s # desks
END
(cd "$MESH_DIR" && "$MESH_BIN_ABS/mvctl" check bad.mv)
echo "exit $?"
curl -s -X POST --data-binary @"$MESH_DIR/bad.mv" \
    "http://$(mesh_operators)/rules"
echo
mesh_ctl status | head -1

echo "# a valid rule file"
mesh_ctl apply --wait examples/bureau.mv | sed 's/at 2.*Z by/at TIME by/'
echo "# sent again after a lost response"
mesh_ctl apply examples/bureau.mv
echo "exit $?"

echo "# requests of each rank, through any proxy"
curl -s "$(mesh_url 3 /log/today)"
curl -s -X PUT --data-binary audio "$(mesh_url 2 /spots/s1)"
curl -s -X POST -H 'Idempotency-Key: k1' --data-binary spot \
    "$(mesh_url 4 /breaks/b1)"
echo "# the same booking again, through another proxy"
curl -s -X POST -H 'Idempotency-Key: k1' --data-binary spot \
    "$(mesh_url 6 /breaks/b1)"
echo "# the same key with another booking"
curl -s -w '%{http_code}\n' -X POST -H 'Idempotency-Key: k1' \
    --data-binary other "$(mesh_url 6 /breaks/b1)"
echo "# a booking without a key"
curl -s -w '%{http_code}\n' -X POST --data-binary spot \
    "$(mesh_url 5 /breaks/b2)"
echo "# no route"
curl -s -w '%{http_code}\n' "$(mesh_url 5 /nowhere)"
echo "# total runs of the key"
for i in 2 5; do
	curl -s "http://$(mesh_host $i):$PORT_HTTP/_fake/runs"
done | awk '/key k1/ { n += $3 } END { print n }'

echo "# two operators submit the same version"
sed -e 's/^version 1 .*/version 2 # Wu, agencies desk/' \
    -e 's/rank=log deadline=5s/rank=log deadline=6s/' \
    examples/bureau.mv >"$MESH_DIR/wu.mv"
sed 's/^version 1 .*/version 2 # Lin, traffic desk/' examples/bureau.mv \
    >"$MESH_DIR/lin.mv"
mesh_ctl diff "$MESH_DIR/wu.mv"
mesh_ctl apply "$MESH_DIR/wu.mv"
mesh_ctl apply "$MESH_DIR/lin.mv" | sed 's/hash [0-9a-f]*/hash HASH/'
echo "# an old version, and one that leaves a gap"
mesh_ctl apply examples/bureau.mv | sed 's/hash [0-9a-f]*/hash HASH/'
sed 's/^version 1 .*/version 9 # Lin/' examples/bureau.mv >"$MESH_DIR/gap.mv"
mesh_ctl apply "$MESH_DIR/gap.mv" | sed 's/hash [0-9a-f]*/hash HASH/'
echo "# proxies in force for each line"
mesh_ctl status --wait | sed -n '2,20p' | cut -c1-50

echo "# graceful shutdown"
for name in backend-1 proxy-1 ledger-1 source-1; do
	mesh_stop $name
	echo "$name exit $?"
done
