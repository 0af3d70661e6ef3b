# LOST, REFUSED, TWICE: SIGTERM of the proxy that takes the requests, of those beside
# the servers, and of both at once, while requests are in all states. Work that has begun
# is answered; all others are answered too, or refused and have not run.
. scripts/mesh.sh
. test/fakes/planned.sh
mesh_init "$BUILD"
planned_start

stop() { # N ...
	stopped=$*
	planned_stop "$@"
}
planned_late() {
	# shellcheck disable=SC2086
	planned_shut $stopped
}

# The process ends 0.4 s later; requests that are still there have been refused.
planned_end() { sleep 2.2; }
planned_more() {
	cat <<'END'
end-head        cross  POST /work/x/        0           0:head,3:rest  -
end-body        cross  POST /work/sum=1/    20000       0:body,3:rest  -
end-kept        cross  POST /work/x/        0           3:all          kept
end-quick       cross  POST /quick/x/       0           3:all          kept
end-upload      cross  POST /work/sum=1/    2000000     3:all          kept
end-call        cross  POST /quick/x/       0           3:all          inner,kept
END
}

echo "== SIGTERM of the proxy that takes the requests"
planned_play ingress 7 stop 1
planned_end_stop 1
echo "== SIGTERM of those beside the servers"
planned_play server 7 stop 2 3 4 5 7
planned_end_stop 2 3 4 5 7
echo "== SIGTERM of both at once"
planned_play both 7 stop 1 2 3 4 5 7
