# LIMIT: a backend server names in its responses how many requests a second it takes
# from all proxies together. In no 4 s does it get over one and a half times that and
# 5, from 3 s after the first naming on; a restart of its proxy does not forget it.
. scripts/mesh.sh
mesh_init "$BUILD"
mesh_start test/functional/limit.mv 4 work work other other

# Most runs at node N within 4 s, from 3 s after the load began.
most_in_4s() { # N
	perl -MTime::Local -ne '
		next unless /Ran GET \/get\/load/;
		/^(\d+)-(\d+)-(\d+)T(\d+):(\d+):([\d.]+)/ or next;
		my $t = timegm(int $6, $5, $4, $3, $2 - 1, $1) + $6 - int $6;
		$first //= $t;
		next if $t < $first + 3;
		push @t, $t;
		shift @t while $t[0] < $t - 4;
		$most = @t if @t > $most;
		END { print $most + 0, "\n" }' "$MESH_DIR/backend-$1.log"
}

within() { # NUMBER LOW HIGH
	[ "$1" -ge "$2" ] && [ "$1" -le "$3" ] && echo "within bounds" ||
	    echo "$1 is not within $2 to $3"
}

load() { # SECONDS
	"$MESH_BIN/mvload" -d "$1" -w 0 -j -t "$(mesh_host 3):$PORT_OUTER" \
	    -t "$(mesh_host 4):$PORT_OUTER" \
	    -c name=load,path=/get/load,rate=80,target=1000,timeout=3000
}

mesh_fake 1 limit=10
load 9 >"$MESH_DIR/load" &
loader=$!
sleep 4.5
mesh_stop proxy-1 KILL
mesh_proxy 1 "$(mesh_region 1)" "$(mesh_dc 1)"
wait $loader
echo "== the server that names 10 requests a second"
within "$(most_in_4s 1)" 20 65
echo "== the other one has room"
[ "$(most_in_4s 2)" -ge 200 ] && echo "it gets the rest" ||
    echo "it gets $(most_in_4s 2)"
echo "== callers"
in_time=$(sed 's/.*"in_time":\([0-9]*\).*/\1/' "$MESH_DIR/load")
[ "$in_time" -ge 698 ] && echo "97 in 100 in time" || cat "$MESH_DIR/load"
