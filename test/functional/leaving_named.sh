# DRAIN: a backend server states in its responses that it leaves, and goes on
# announcing that it is ready. It gets no further request once the drain time of 2 s
# is over, not even when its proxy restarts and has to be told by the others.
. scripts/mesh.sh
mesh_init "$BUILD"
mesh_start test/functional/limit.mv 4 work work other other

runs() { curl -s "http://$(mesh_host "$1"):$PORT_HTTP/_fake/runs" | head -1; }

load() { # SECONDS
	"$MESH_BIN/mvload" -d "$1" -w 0 -j -t "$(mesh_host 3):$PORT_OUTER" \
	    -t "$(mesh_host 4):$PORT_OUTER" \
	    -c name=load,path=/get/load,rate=80,target=1000,timeout=3000 |
	    sed 's/.*"in_time":\([0-9]*\).*/\1/'
}

load 1 >/dev/null
[ "$(runs 1)" = "runs 0" ] && echo "no run at the server" ||
    echo "it serves"
# Both proxies of callers pass on a response that states it.
mesh_fake 1 service_us=600000
for i in 1 2 3 4 5 6; do
	for n in 3 4; do
		curl -s -o /dev/null "$(mesh_url $n /get/states/$i)" &
		slow="${slow:-} $!"
	done
done
sleep 0.3
mesh_fake 1 leaving=1
wait $slow
mesh_fake 1 service_us=0
sleep 1
before=$(runs 1)
in_time=$(load 2)
[ "$(runs 1)" = "$before" ] && echo "no run after it said so" ||
    echo "before $before, after $(runs 1)"
mesh_stop proxy-1 KILL
mesh_proxy 1 "$(mesh_region 1)" "$(mesh_dc 1)"
mesh_wait 10 mesh_proxy_has 1 1
in_time=$((in_time + $(load 3)))
[ "$(runs 1)" = "$before" ] && echo "no run after the restart of its proxy" ||
    echo "before $before, after $(runs 1)"
[ $in_time -ge 380 ] && echo "95 in 100 in time" || echo "in time: $in_time"
