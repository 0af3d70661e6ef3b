# Long answers beside planned work, for functional tests; sourced after mesh.sh.
#
#   downloads_start LABEL N PATH FIRST LAST
#                     asks node N for PATH/LABEL-FIRST to PATH/LABEL-LAST at once
#   downloads_judge LABEL FIRST LAST HASH
#                     waits for them and prints each that was neither answered whole,
#                     with the body of that hash, nor refused and not run, by ran-2
#   downloads_answered LABEL FIRST LAST
#                     prints how many were answered

downloads_pids=

downloads_start() { # LABEL N PATH FIRST LAST
	for i in $(seq "$4" "$5"); do
		curl -s -m 40 -D "$MESH_DIR/$1-$i.head" -o "$MESH_DIR/$1-$i.body" \
		    -w '%{http_code} %{exitcode}\n' "$(mesh_url "$2" "$3/$1-$i")" \
		    >"$MESH_DIR/$1-$i.end" &
		downloads_pids="$downloads_pids $!"
	done
}

downloads_judge() { # LABEL FIRST LAST HASH
	# Without an argument it waits for the servers too.
	# shellcheck disable=SC2086
	[ -z "$downloads_pids" ] || wait $downloads_pids
	downloads_pids=
	downloads_bad=0
	for i in $(seq "$2" "$3"); do
		end=$(cat "$MESH_DIR/$1-$i.end")
		outcome=$(sed -n 's/\r$//; s/^Magnolia-Outcome: //p' "$MESH_DIR/$1-$i.head")
		runs=$(grep -c "/$1-$i " "$MESH_DIR/ran-2")
		case "$end $outcome $runs" in
		"200 0  1")
			[ "$(md5sum <"$MESH_DIR/$1-$i.body")" = "$4" ] && continue
			echo "$1-$i: other bytes"
			;;
		"503 0 not-run 0") continue ;;
		# The port was closed already: nothing was accepted.
		"000 7  0") continue ;;
		"200 18 "*) echo "$1-$i: cut" ;;
		*) echo "$1-$i: status and end of curl $end, outcome '$outcome', runs $runs" ;;
		esac
		downloads_bad=$((downloads_bad + 1))
	done
	[ $downloads_bad -gt 0 ] || echo "$1: each is whole, or refused and not run"
}

downloads_answered() { # LABEL FIRST LAST
	for i in $(seq "$2" "$3"); do
		cat "$MESH_DIR/$1-$i.end"
	done | grep -c '^200 0$'
}
