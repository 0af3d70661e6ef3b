# The check of the settings reports all errors, each with the path of its key;
# invalid command lines are refused with exit code 2.
. scripts/mesh.sh
mesh_init "$BUILD"
cd "$MESH_DIR" || exit 1
bin=$MESH_BIN_ABS

run() {
	"$bin/$@" 2>&1
	echo "exit $?"
}

echo "# not JSON"
printf '{"name": "n1",\n  "region" "r"}\n' >bad.json
run mvproxy bad.json
echo "# unknown keys, wrong types, values out of range, missing keys"
cat >bad.json <<'END'
{ "name": 5, "region": "r", "dc": "d", "host": "10.0.0.1", "colour": "red",
  "listen": { "outer": "10.0.0.1:7000", "inner": "localhost:7001",
    "peer": "10.0.0.1:70000", "shape": 1 },
  "gossip": { "probe_ms": 1, "ack_timeout_ms": "x" },
  "seeds": [ 1 ] }
END
run mvproxy bad.json
echo "# a valid file"
cat >good.json <<'END'
{ "name": "n1", "region": "r", "dc": "d", "host": "127.0.0.1",
  "listen": { "outer": "127.0.0.1:0", "inner": "127.0.0.1:0",
    "peer": "127.0.0.1:0", "control": "127.0.0.1:0",
    "admin": "127.0.0.1:0" } }
END
run mvproxy --check-settings good.json
echo "# an inner listener that is not on loopback"
sed 's/"inner": "127.0.0.1:0"/"inner": "10.0.0.1:0"/' good.json >open.json
run mvproxy open.json
echo "# sources and ledgers"
run mvsource --check-settings good.json
run mvledger /nowhere.json
echo "# an unknown log level"
sed 's/{ "name"/{ "log": {"level": "loud"}, "name"/' good.json >loud.json
run mvproxy --check-settings loud.json
echo "# command line of mvctl"
run mvctl frobnicate
run mvctl check
run mvctl check /nowhere.mv
run mvctl -s 127.0.0.1:1 status
run mvctl --version
echo "# JSON log lines"
sed 's/{ "name"/{ "log": {"json": true, "path": "n1.log"}, "name"/' \
    good.json >json.json
"$bin/mvproxy" json.json &
pid=$!
sleep 0.5
kill -TERM $pid
wait $pid
echo "exit $?"
head -1 n1.log | sed -e 's/"time":"[^"]*"/"time":"T"/' -e 's/"incarnation":[0-9]*/"incarnation":N/'
