# Faults of the misbehaving soak that come beside kills and pauses: disks of sources that
# are full or stalled, in turn and at once, wall clocks that are stepped, messages of
# another program between processes; and changes of the rules all the while. Sourced by
# run.sh, which defines mesh_* and start_process.

# Lines "SECONDS_LATER KIND PROCESS VALUE" by seed.
schedule_faults() { # SEED SECONDS
	perl -e 'srand $ARGV[0] + 1000;
		my $at = 0;
		while ($at < $ARGV[1]) {
			my $gap = 0.1 + rand 0.5;
			my $kind = (qw(full full stalled stalled kill clock message
			    message))[rand 8];
			my $process = (qw(source-2 source-3 source-1 proxy-1 proxy-2
			    proxy-3 proxy-4))[rand($kind =~ /full|stalled|kill/ ? 2 : 7)];
			my $step = (rand() < 0.5 ? -1 : 1) *
			    int exp rand log 100000;
			$at += $gap;
			printf "%.2f %s %s %s\n", $gap, $kind, $process,
			    $kind eq "clock" ? $step : $kind eq "message" ?
			    (qw(1 2 10 11 12 13 14 40 41 43 45))[rand 11] :
			    sprintf "%.2f", 0.1 + rand 1.2;
		}' "$1" "$2"
}

# Kills and starts sources when the file NAME.kill comes, and starts those again that end
# since their disk, once full, takes writes again. What ends for another reason stays
# down and is a finding.
watch_sources() {
	started_2=0
	started_3=0
	while sleep 0.1; do
		for n in 2 3; do
			mesh_has_ended source-$n || {
				[ -e "$MESH_DIR/source-$n.kill" ] || continue
				rm "$MESH_DIR/source-$n.kill"
				kill -KILL "$(mesh_pid source-$n)"
				mesh_wait 5 mesh_has_ended source-$n
				start_process source-$n
				continue
			}
			ended=$(grep -c "exiting to reload" "$MESH_DIR/source-$n.log")
			[ "$ended" -gt "$(eval echo \$started_$n)" ] || continue
			eval "started_$n=$ended"
			start_process source-$n
		done
	done
}

# Ends a fault after a time, beside the next ones; see test/fakes/odd_os.c.
hold_fault() { # PROCESS full|stalled SECONDS
	: >"$MESH_DIR/$1.os.$2"
	sleep "$3"
	rm -f "$MESH_DIR/$1.os.$2"
}

control_address() { # PROCESS
	case $1 in
	source-*) echo "$(mesh_host $((200 + ${1#source-}))):$PORT_CONTROL" ;;
	*) echo "$(mesh_host "${1#proxy-}"):$PORT_CONTROL" ;;
	esac
}

play_faults() { # SEED SECONDS
	schedule_faults "$1" "$2" >"$MESH_DIR/faults"
	while read -r gap kind process value; do
		sleep "$gap"
		case $kind in
		full | stalled) hold_fault "$process" "$kind" "$value" & ;;
		kill) : >"$MESH_DIR/$process.kill" ;;
		clock) echo "$value" >"$MESH_DIR/$process.os.clock" ;;
		message)
			transport=tcp
			case $value in 1 | 10 | 11) transport=udp ;; esac
			timeout 1 "$MESH_BIN/odd-writer" \
			    "$(control_address "$process")" $transport "$value" \
			    kind="$(($1 % 4))" name=n2 incarnation=1 \
			    "cluster=@source mesh" >/dev/null 2>&1 & ;;
		esac
	done <"$MESH_DIR/faults"
	wait
}

apply_version() { # VERSION
	timeout 5 "$MESH_BIN/mvctl" --source "$(mesh_operators)" apply \
	    "$(mesh_version_file "$1" test/soak/misbehave/rules.mv)" 2>&1
}

# Changes the rules again and again, each one until it is accepted. Prints what must not
# come: a refusal. The version that comes next is in the file `next`.
play_operator() { # SECONDS
	version=2
	echo 2 >"$MESH_DIR/next"
	until=$(($(date +%s) + $1))
	while [ "$(date +%s)" -lt $until ]; do
		answer=$(apply_version $version)
		case $answer in
		*accepted*)
			version=$((version + 1))
			echo $version >"$MESH_DIR/next" ;;
		*gap* | *conflict* | *invalid* | *stale*)
			echo "CONFIG: version $version: $answer" ;;
		esac
		sleep 0.1
	done
}

# After the last fault a change is accepted and in force everywhere.
check_recovery() {
	version=$(cat "$MESH_DIR/next")
	until=$(($(date +%s) + 20))
	while ! apply_version "$version" >/dev/null; do
		[ "$(date +%s)" -lt $until ] || {
			echo "CONFIG: version $version is refused after the last fault"
			return 1
		}
		sleep 0.2
	done
	for n in 1 2 3 4; do
		mesh_wait 20 mesh_proxy_has $n "$version" || {
			echo "CONFIG: proxy $n has not version $version"
			return 1
		}
	done
}
