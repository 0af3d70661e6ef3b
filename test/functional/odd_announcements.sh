# Processes that end, LOST: another writer announces a backend server in odd ways:
# nested deeply, with numbers too large, with ports out of range. Each is refused, and
# no proxy or source ends or stops following the members.
. scripts/mesh.sh
MESH_PROXY_EXTRA='"report_ms": 500,'
mesh_init "$BUILD"
mesh_start test/functional/plain.mv 3 log
MESH_PROXY_EXTRA="\"report_ms\": 500, \"dialect\": \"platform\","
mesh_proxy 4 "$(mesh_region 4)" "$(mesh_dc 4)"
mesh_wait 10 mesh_proxy_knows 1 4 || echo "proxy 4 is not known"

pids=$(cat "$MESH_DIR"/*.pid | tr '\n' ' ')

# Writes the bodies to send to files, one each.
write_bodies() { # FOLDER
	perl -e '
		my ($folder) = @ARGV;
		my %own = (service => "\"log\"", address => "\"127.0.0.1:9\"",
		    state => "\"ready\"", lease_ms => 1000, started_ms => 1);
		my %platform = (service => "\"log\"",
		    address => "\"127.0.0.1:9\"", state => "\"ready\"",
		    zone => "\"z\"", version => "\"v\"", slots => 9,
		    coldRemainingMs => 0, born => 1, sequence => 1);
		my @nested = map { ("[" x $_ . "]" x $_, "{\"a\":" x $_ .
		    "1" . "}" x $_) } (100, 2047, 2049, 6000);
		my @large = (2**31, 2**32, "9223372036854775807",
		    "9223372036854775808", "18446744073709551616",
		    "9" x 400, "1e308", "1e309", "-1", "-9223372036854775809",
		    "0.5", "1e400000", "NaN", "null", "true");
		my @address = map { "\"$_\"" } ("127.0.0.1:0", "127.0.0.1:65536",
		    "127.0.0.1:-1", "127.0.0.1:4294967297", "127.0.0.1:" .
		    "9" x 30, "127.0.0.1", ":80", "256.0.0.1:80", "[::1]:80",
		    "127.0.0.1:80:80", "127.0.0.1:8 0", "");
		my $n = 0;
		for my $kind (["own", \%own], ["platform", \%platform]) {
			my ($name, $good) = @$kind;
			my $put = sub {
				my ($field, $value) = @_;
				my %f = (%$good, $field => $value);
				open my $out, ">", sprintf("%s/%s-%04d-%s", $folder,
				    $name, $n++, $field) or die;
				print $out "{" . join(",", map { "\"$_\":$f{$_}" }
				    sort keys %f) . "}";
			};
			for my $field (sort keys %$good) {
				$put->($field, $_) for @nested;
				next if $field eq "address" ||
				    $good->{$field} =~ /"/;
				$put->($field, $_) for @large;
			}
			$put->("address", $_) for @address;
		}' "$1"
}

mkdir "$MESH_DIR/bodies"
write_bodies "$MESH_DIR/bodies"
for body in "$MESH_DIR"/bodies/*; do
	case $body in
	*/own-*) to="-X PUT http://$(mesh_host 1):$PORT_ADMIN/announce" ;;
	*) to=http://$(mesh_host 4):$PORT_ADMIN/api/instances/i-1/heartbeat ;;
	esac
	# shellcheck disable=SC2086
	echo "${body##*/} $(curl -s -m 4 -o /dev/null -w '%{http_code}' \
	    --data-binary @"$body" $to)"
done >"$MESH_DIR/statuses"
awk '{ split($1, part, "-"); n[part[1] " " $2]++
	if ($2 != 400) print "taken:", part[1], part[3] }
	END { for (k in n) print k, n[k] }' "$MESH_DIR/statuses" | sort | uniq -c

echo "== afterwards"
for pid in $pids; do kill -0 "$pid" || echo "a process has ended"; done
for n in 1 2 3; do
	mesh_proxy_knows $n 4 || echo "proxy $n does not know all"
	curl -s -o /dev/null -w '%{http_code}\n' "$(mesh_url $n /log/x)"
done
mesh_ctl apply --wait "$(mesh_version_file 2)" | sed -n '1p'
mesh_stop proxy-3 TERM
for n in 1 2 4; do
	mesh_wait 10 mesh_proxy_knows $n 3 || echo "proxy $n does not follow"
done
