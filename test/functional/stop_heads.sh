# A proxy that leaves serves requests whose answers have no body, until it refuses what may
# outlast it: no link holds them up, whatever the route's answers are like.
. scripts/mesh.sh
. test/fakes/planned.sh
mesh_init "$BUILD"
MESH_PROXY_EXTRA='"drain": {"stop_s": 5}, "report_ms": 500,'
mesh_start test/functional/stop_jobs.mv 2 front other
mesh_stop backend-2 KILL
planned_server 2 other
head_of() { # PATH
	curl -s -I -m 4 -o /dev/null -w '%{http_code}\n' "$(mesh_url 1 "$1")"
}
is_served() { [ "$(head_of /other/x/x)" = 200 ]; }
mesh_wait 10 is_served || echo "other is not served"
planned_stop 1
head_of /other/x/late
