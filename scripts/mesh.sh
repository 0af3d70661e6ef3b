# Functions that run a mesh of real processes on loopback; sourced by the demo,
# the benchmarks and the functional tests.
#
# Each run uses its own IP range, 127.A.B.0/24, so that concurrent runs do not
# connect to each other. Node n has host 127.A.B.n and the ports below.
#
#   mesh_init BUILD        create the folder and choose the IP range
#   mesh_source ID ...     start replica ID of the source
#   mesh_ledger ID ...     start replica ID of the ledger
#   mesh_proxy N REGION DC start the proxy of node N
#   mesh_backend N SERVICE [KEY=JSON ...]
#                          start the backend server of node N
#   mesh_pid NAME          print the id of a process
#   mesh_stop NAME [SIG]   signal a process and wait for its exit
#   mesh_end               kill all processes and remove the folder

PORT_OUTER=7000
PORT_INNER=7001
PORT_PEER=7002
PORT_CONTROL=7003
PORT_ADMIN=7004
PORT_HTTP=7005

mesh_init() {
	MESH_BIN=$1/bin
	MESH_BIN_ABS=$(cd "$MESH_BIN" && pwd)
	MESH_DIR=$(mktemp -d "${TMPDIR:-/tmp}/mesh.XXXXXX")
	MESH_NET=127.$((($$ / 250) % 250 + 1)).$(($$ % 250 + 1))
	MESH_SOURCES=${MESH_SOURCES:-1}
	MESH_LEDGERS=${MESH_LEDGERS:-0}
	MESH_PROXY_EXTRA=${MESH_PROXY_EXTRA:-}
	MESH_LOG_LEVEL=${MESH_LOG_LEVEL:-info}
	MESH_ENV=${MESH_ENV:-}
	MESH_RULES_CALLS=0
	trap mesh_end EXIT
	trap 'exit 1' INT TERM
}

# Host of node N. The sources have 201 and up, the ledgers 211 and up.
mesh_host() { echo "$MESH_NET.$1"; }

mesh_source_list() {
	for i in $(seq 1 "$MESH_SOURCES"); do
		printf '%s"%s:%s"' "$([ "$i" = 1 ] || echo ,)" \
		    "$(mesh_host $((200 + i)))" $PORT_CONTROL
	done
}

mesh_ledger_list() {
	for i in $(seq 1 "$MESH_LEDGERS"); do
		printf '%s"%s:%s"' "$([ "$i" = 1 ] || echo ,)" \
		    "$(mesh_host $((210 + i)))" $PORT_CONTROL
	done
}

mesh_replica_list() { # FIRST COUNT PORT
	for i in $(seq 1 "$2"); do
		printf '%s"%s=%s:%s"' "$([ "$i" = 1 ] || echo ,)" "$i" \
		    "$(mesh_host $(($1 + i)))" "$3"
	done
}

# Operator addresses of all sources, for mvctl.
mesh_operators() {
	for i in $(seq 1 "$MESH_SOURCES"); do
		printf '%s%s:%s' "$([ "$i" = 1 ] || echo ,)" \
		    "$(mesh_host $((200 + i)))" $PORT_HTTP
	done
}

mesh_run() { # NAME PROGRAM [ARG ...]
	mesh_name=$1
	shift
	# shellcheck disable=SC2086
	env $MESH_ENV ODD_OS="$MESH_DIR/$mesh_name.os" "$MESH_BIN/$@" \
	    >"$MESH_DIR/$mesh_name.out" 2>&1 &
	echo $! >"$MESH_DIR/$mesh_name.pid"
}

mesh_pid() { cat "$MESH_DIR/$1.pid"; }

mesh_has_ended() { ! kill -0 "$(mesh_pid "$1")" 2>/dev/null; } # NAME

mesh_stop() { # NAME [SIGNAL]
	mesh_stop_pid=$(mesh_pid "$1")
	kill -"${2:-TERM}" "$mesh_stop_pid" 2>/dev/null
	wait "$mesh_stop_pid" 2>/dev/null
	mesh_stop_rc=$?
	rm -f "$MESH_DIR/$1.pid"
	return $mesh_stop_rc
}

mesh_end() {
	mesh_end_rc=$?
	trap - EXIT
	for f in "$MESH_DIR"/*.pid; do
		[ -e "$f" ] || continue
		kill -CONT "$(cat "$f")" 2>/dev/null
		kill -KILL "$(cat "$f")" 2>/dev/null
	done
	wait 2>/dev/null
	# Fails on a report of a sanitizer, whatever the test checks.
	grep -s -h -A 12 -E 'Sanitizer:|runtime error:' "$MESH_DIR"/*.out && mesh_end_rc=1
	[ -n "${MESH_KEEP:-}" ] || rm -rf "$MESH_DIR"
	exit $mesh_end_rc
}

mesh_log_json() {
	printf '"log":{"path":"%s/%s.log","level":"%s","json":%s}' \
	    "$MESH_DIR" "$1" "$MESH_LOG_LEVEL" "${MESH_LOG_JSON:-false}"
}

mesh_source_settings() { # ID
	cat >"$MESH_DIR/source-$1.json" <<END
{
  $(mesh_log_json "source-$1"),
  "region": "${MESH_SOURCE_REGION:-north}", "dc": "${MESH_SOURCE_DC:-north-1}",
  "host": "$(mesh_host $((200 + $1)))",
  "listen": {
    "control": "$(mesh_host $((200 + $1))):$PORT_CONTROL",
    "operators": "$(mesh_host $((200 + $1))):$PORT_HTTP"
  },
  "data_path": "$MESH_DIR/source-$1.data",
  "cluster": "mesh", "id": $1,
  "replicas": [$(mesh_replica_list 200 "$MESH_SOURCES" $PORT_CONTROL)],
  ${MESH_SOURCE_EXTRA:-}
  "stale_ms": ${MESH_STALE_MS:-16000},
  "election_ms": ${MESH_ELECTION_MS:-400}, "heartbeat_ms": ${MESH_HEARTBEAT_MS:-60}
}
END
}

mesh_source() { # ID [FLAG ...]
	mesh_source_settings "$1"
	mesh_source_id=$1
	shift
	mesh_run "source-$mesh_source_id" mvsource "$@" \
	    "$MESH_DIR/source-$mesh_source_id.json"
}

# Starts source N of a set that forms itself from the first three as seeds.
mesh_forming_source() { # N FIRST_START
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
  ${MESH_SOURCE_EXTRA:-}
  "election_ms": 400, "heartbeat_ms": 60
}
END
	mesh_run "source-$1" mvsource "$MESH_DIR/source-$1.json"
}

# Succeeds if source N is one of five voters.
mesh_is_voter() { # N
	mesh_is_voter_id=$(curl -s -m 2 \
	    "http://$(mesh_host $((200 + $1))):$PORT_HTTP/status" |
	    grep -o '"replica": *[0-9]*' | grep -o '[0-9]*$')
	mesh_is_voter_text=$(mesh_ctl status --json | tr -d ' \n')
	[ "$(echo "$mesh_is_voter_text" | grep -o '"id":[0-9]*' | wc -l)" = 5 ] &&
	    echo "$mesh_is_voter_text" | grep -q "\"id\":$mesh_is_voter_id,"
}

mesh_is_leader() { # N
	[ "$(mesh_counter "$(mesh_host $((200 + $1))):$PORT_HTTP" \
	    replica_is_leader)" = 1 ]
}

# Kills source N and restarts it with an empty disk.
mesh_lose_source_disk() { # N
	mesh_stop "source-$1" KILL
	rm -rf "$MESH_DIR/source-$1.data"
	mesh_forming_source "$1" false
	mesh_wait 10 mesh_is_voter "$1"
}

mesh_ledger() { # ID [FLAG ...]
	cat >"$MESH_DIR/ledger-$1.json" <<END
{
  $(mesh_log_json "ledger-$1"),
  "listen": {
    "control": "$(mesh_host $((210 + $1))):$PORT_CONTROL",
    "admin": "$(mesh_host $((210 + $1))):$PORT_ADMIN"
  },
  "data_path": "$MESH_DIR/ledger-$1.data",
  "cluster": "mesh", "id": $1,
  "replicas": [$(mesh_replica_list 210 "$MESH_LEDGERS" $PORT_CONTROL)],
  "election_ms": ${MESH_ELECTION_MS:-400}, "heartbeat_ms": ${MESH_HEARTBEAT_MS:-60}
}
END
	mesh_ledger_id=$1
	shift
	mesh_run "ledger-$mesh_ledger_id" mvledger "$@" \
	    "$MESH_DIR/ledger-$mesh_ledger_id.json"
}

mesh_proxy_settings() { # N REGION DC
	mesh_proxy_host=$(mesh_host "$1")
	cat >"$MESH_DIR/proxy-$1.json" <<END
{
  $(mesh_log_json "proxy-$1"),
  "name": "n$1", "region": "$2", "dc": "$3", "host": "$mesh_proxy_host",
  "listen": {
    "outer": "$mesh_proxy_host:$PORT_OUTER",
    "inner": "$mesh_proxy_host:$PORT_INNER",
    "peer": "$mesh_proxy_host:$PORT_PEER",
    "control": "$mesh_proxy_host:$PORT_CONTROL",
    "admin": "$mesh_proxy_host:$PORT_ADMIN"
  },
  $MESH_PROXY_EXTRA
  "seeds": ["$(mesh_host 1):$PORT_CONTROL", "$(mesh_host 2):$PORT_CONTROL"],
  "ledgers": [$(mesh_ledger_list)],
  "sources": [$(mesh_source_list)]
}
END
}

mesh_proxy() { # N REGION DC
	mesh_proxy_settings "$@"
	mesh_run "proxy-$1" mvproxy "$MESH_DIR/proxy-$1.json"
}

mesh_backend() { # N SERVICE [KEY=JSON ...]
	mesh_backend_host=$(mesh_host "$1")
	mesh_backend_n=$1
	mesh_backend_service=$2
	shift 2
	{
		echo "{ $(mesh_log_json "backend-$mesh_backend_n"),"
		for pair in "$@"; do
			echo "\"${pair%%=*}\": ${pair#*=},"
		done
		cat <<END
"name": "b$mesh_backend_n", "service": "$mesh_backend_service",
"listen": "$mesh_backend_host:$PORT_HTTP",
"proxy": { "admin": "$mesh_backend_host:$PORT_ADMIN",
           "inner": "$mesh_backend_host:$PORT_INNER" } }
END
	} >"$MESH_DIR/backend-$mesh_backend_n.json"
	mesh_run "backend-$mesh_backend_n" fake-backend \
	    "$MESH_DIR/backend-$mesh_backend_n.json"
}

# Starts a server whose answers the paths of the requests set, on node N. Its output
# is appended to ran-N.
mesh_odd_server() { # N
	perl test/fakes/odd_server.pl "$(mesh_host "$1")" $PORT_HTTP "i-$1" \
	    >>"$MESH_DIR/ran-$1" &
	echo $! >"$MESH_DIR/server-$1.pid"
}

# Announces the server of node N, of a service.
mesh_announce() { # N SERVICE
	curl -s -o /dev/null -X PUT "http://$(mesh_host "$1"):$PORT_ADMIN/announce" \
	    -d "{\"service\": \"$2\", \"state\": \"ready\", \"lease_ms\": 60000,
	    \"address\": \"$(mesh_host "$1"):$PORT_HTTP\"}"
}

# Makes a call of a server in the users' dialect to the proxy of node N, and prints
# the status of its response.
mesh_call_proxy() { # N ID CALL BODY
	curl -s -m 4 -o /dev/null -w '%{http_code}\n' -X POST -d "$4" \
	    "http://$(mesh_host "$1"):$PORT_ADMIN/api/instances/$2/$3"
}

mesh_beat() { # N ID SERVICE ADDRESS BORN SEQUENCE [STATE [SLOTS]]
	mesh_call_proxy "$1" "$2" heartbeat "{\"service\": \"$3\",
	    \"address\": \"$4\", \"zone\": \"z\", \"version\": \"v1\",
	    \"slots\": ${8:-9}, \"state\": \"${7:-ready}\", \"coldRemainingMs\": 0,
	    \"born\": $5, \"sequence\": $6}"
}

mesh_ctl() { "$MESH_BIN/mvctl" --source "$(mesh_operators)" "$@"; }

# Writes the rules of a file, plain.mv by default, as version V and prints the name of
# the new file.
mesh_version_file() { # V [RULES]
	sed "s/^version 1 .*/version $1 # op $1/" \
	    "${2:-test/functional/plain.mv}" >"$MESH_DIR/v$1.mv"
	echo "$MESH_DIR/v$1.mv"
}

# Repeats a command until it succeeds; fails after SECONDS.
mesh_wait() { # SECONDS COMMAND ...
	mesh_wait_left=$(($1 * 20))
	shift
	while ! "$@" >/dev/null 2>&1; do
		mesh_wait_left=$((mesh_wait_left - 1))
		[ $mesh_wait_left -gt 0 ] || return 1
		sleep 0.05
	done
}

mesh_counter() { # HOST:PORT NAME
	curl -s "http://$1/counters" | awk -v n="$2" '$1 == n { print $2 }'
}

mesh_proxy_counter() { # N NAME
	mesh_counter "$(mesh_host "$1"):$PORT_ADMIN" "$2"
}

mesh_url() { echo "http://$(mesh_host "$1"):$PORT_OUTER$2"; }

# Succeeds if proxy N is ready and has at least version V.
mesh_proxy_has() { # N V
	curl -sf "http://$(mesh_host "$1"):$PORT_ADMIN/status" |
	    awk -v v="$2" '/"version"/ { gsub(/[^0-9]/, "", $2); ok = $2 >= v }
		/"ready": true/ { ready = 1 } END { exit !(ok && ready) }'
}

# Succeeds if proxy N lists COUNT members as alive.
mesh_proxy_knows() { # N COUNT
	curl -sf "http://$(mesh_host "$1"):$PORT_ADMIN/status" |
	    grep -q "\"members_alive\": $2,"
}

# Succeeds if a quorum of sources confirms the status and it counts COUNT
# proxies.
mesh_reported() { # COUNT
	mesh_reported_text=$(mesh_ctl status) &&
	    echo "$mesh_reported_text" | grep -q " of $1 proxies"
}

# Starts a mesh for tests: PROXIES proxies over three regions, with backend
# servers of the given services in turn, and the rules in force.
mesh_start() { # RULES PROXIES SERVICE ...
	mesh_start_rules=$1
	mesh_start_count=$2
	shift 2
	for i in $(seq 1 "$MESH_SOURCES"); do mesh_source "$i" --bootstrap; done
	for i in $(seq 1 "$MESH_LEDGERS"); do mesh_ledger "$i" --bootstrap; done
	for n in $(seq 1 "$mesh_start_count"); do
		mesh_proxy "$n" "$(mesh_region "$n")" "$(mesh_dc "$n")"
	done
	n=0
	while [ $n -lt "$mesh_start_count" ]; do
		for service in "$@"; do
			n=$((n + 1))
			[ $n -le "$mesh_start_count" ] || break
			# shellcheck disable=SC2086
			mesh_backend $n "$service" ${MESH_BACKEND_EXTRA:-}
		done
	done
	mesh_wait 20 mesh_reported "$mesh_start_count" ||
	    echo "the proxies did not report to the sources"
	mesh_ctl apply --wait "$mesh_start_rules" >"$MESH_DIR/apply" ||
	    cat "$MESH_DIR/apply"
	for n in $(seq 1 "$mesh_start_count"); do
		mesh_wait 20 mesh_proxy_knows "$n" "$mesh_start_count" ||
		    echo "n$n does not list all members"
	done
}

# Region and data centre of node N: three regions of two data centres, in turn.
mesh_region() { echo "r$(($1 % 3))"; }
mesh_dc() { echo "r$(($1 % 3))-$(($1 / 3 % 2))"; }

# Proxies and fake backend servers of nodes 1 to N, as arguments of mvload.
mesh_load_args() { # N
	for i in $(seq 1 "$1"); do
		printf -- '-t %s:%s -b %s:%s ' "$(mesh_host "$i")" $PORT_OUTER \
		    "$(mesh_host "$i")" $PORT_HTTP
	done
}

# Sets a behaviour of the fake backend server at node N.
mesh_fake() { # N NAME=VALUE
	curl -s -X POST "http://$(mesh_host "$1"):$PORT_HTTP/_fake/set?$2" \
	    >/dev/null
}

# Number of runs of a key at nodes 1 to N.
mesh_runs() { # N KEY
	for i in $(seq 1 "$1"); do
		curl -s -m 2 "http://$(mesh_host "$i"):$PORT_HTTP/_fake/runs"
	done | awk -v k="$2" '$1 == "key" && $2 == k { n += $3 }
		END { print n + 0 }'
}
