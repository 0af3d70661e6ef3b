# Sends configurations with each field at and beyond its ends to an operator's port,
# and reads back each one that was accepted.
#
#   odd_documents.pl IP:PORT
#
# Prints the accepted ones that read back as something else, those that have no clear
# status, and how many were refused.
use strict;
use warnings;
use IO::Socket::INET;
use JSON::PP;

my ($to) = @ARGV;
my $json = JSON::PP->new->canonical->allow_nonref->latin1;

sub call {
	my ($method, $path, $body) = @_;
	my $socket = IO::Socket::INET->new(PeerAddr => $to, Timeout => 4)
	    or return (0, "");
	printf $socket "%s %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" .
	    "Content-Length: %d\r\n\r\n%s", $method, $path, length($body), $body;
	local $/;
	my $answer = <$socket> // "";
	my ($head, $text) = split /\r\n\r\n/, $answer, 2;
	return (($head // "") =~ m{^HTTP/1.1 (\d+)} ? $1 : 0, $text // "");
}

# Marks a value that stands in the document as it is, without a conversion.
my @raw;
sub raw { push @raw, $_[0]; return "\@raw$#raw\@" }

sub document { # VERSION FIELD_SETTER
	my ($version, $set) = @_;
	my $d = {version => $version, baseVersion => $version - 1,
	    limits => {maxHeaderBytes => 16384, maxBodyBytes => 67108864,
		headerTimeoutMs => 3000, idleTimeoutMs => 15000},
	    services => {map { $_ => {healthPath => "/healthz",
		maxConnections => 130, protocol => "h1", tls => JSON::PP::false} }
		qw(a b c)},
	    routes => {"r-1" => {host => "a.example", pathPrefix => "/a/",
		    kind => "safe", timeoutMs => 1000, targetLatencyMs => 500,
		    priority => 1, service => "a", maxAttempts => 2},
		"r-2" => {host => "b.example", pathPrefix => "/b/",
		    kind => "unsafe", timeoutMs => 800, targetLatencyMs => 400,
		    priority => 2, maxAttempts => 2, weightedServices => [
			{service => "a", weight => 90},
			{service => "b", weight => 10}]}}};
	@raw = ();
	$set->($d);
	my $text = $json->encode($d);
	$text =~ s/"\@raw(\d+)\@"/$raw[$1]/g;
	return $text;
}

my @numbers = qw(0 1 -1 2147483647 2147483648 4294967295 4294967296
    9223372036854775806 9223372036854775807 9223372036854775808
    18446744073709551616 -9223372036854775808 -9223372036854775809 0.5 1.0 1e3
    1e308 1e309 null true "1" [] {} NaN);
push @numbers, "9" x 400;
my @texts = (map({ "\"$_\"" } "", " ", "a b", "a\\tb", "a\\nb", "a#b", "a:1", "a:1,b",
    "a,b", "a=b", "a=b c=d", "%s%n", "..", "*", "a\\u0000b", "a\\u000bb",
    "a\\u001fb", "a\\u007fb", "a\\u00a0b", "a\\u2028b", "\\ud800", "\\\"", "\\\\",
    "/", "//", "/a", "a/", "safe", "operator API", map { "a" x $_ } 40, 63, 64, 65,
    127, 128, 129, 255, 256, 257, 2047, 2048, 70000), "\"a\xffb\"", "\"\xc0\x80\"",
    "null", "1", "true", "[]", "{}",
    map({ "[" x $_ . "]" x $_ } 100, 2047, 2049, 6000));

my @cases;
sub number { my ($name, $at) = @_;
	push @cases, map { my $v = $_; [$name, $v,
	    sub { ${$at->($_[0])} = raw($v) }] } @numbers }
sub text { my ($name, $at) = @_;
	push @cases, map { my $v = $_; [$name, $v,
	    sub { ${$at->($_[0])} = raw($v) }] } @texts }
# A name is the key of a table: the value is put there in place of the old key.
sub name { my ($name, $table, $old) = @_;
	push @cases, map { my $v = $_; [$name, $v, sub {
	    my $t = $_[0]{$table};
	    $t->{raw($v)} = delete $t->{$old} }] } grep { /^"/ } @texts }

for my $f (qw(maxHeaderBytes maxBodyBytes headerTimeoutMs idleTimeoutMs)) {
	number("limits.$f", sub { \$_[0]{limits}{$f} });
}
number("services.maxConnections", sub { \$_[0]{services}{c}{maxConnections} });
text("services.healthPath", sub { \$_[0]{services}{c}{healthPath} });
text("services.protocol", sub { \$_[0]{services}{c}{protocol} });
number("services.tls", sub { \$_[0]{services}{c}{tls} });
for my $f (qw(timeoutMs targetLatencyMs priority maxAttempts)) {
	number("routes.$f", sub { \$_[0]{routes}{"r-1"}{$f} });
}
for my $f (qw(host pathPrefix kind service)) {
	text("routes.$f", sub { \$_[0]{routes}{"r-1"}{$f} });
}
number("routes.weight",
    sub { \$_[0]{routes}{"r-2"}{weightedServices}[0]{weight} });
text("routes.weightedServices.service",
    sub { \$_[0]{routes}{"r-2"}{weightedServices}[0]{service} });
text("routes.weightedServices", sub { \$_[0]{routes}{"r-2"}{weightedServices} });
for my $f (qw(limits services routes)) {
	text($f, sub { \$_[0]{$f} });
}
name("service name", "services", "c");
name("route name", "routes", "r-1");
# A version that is accepted must leave room for the next cases.
push @cases, map { my $v = $_; ["version", $v, sub { $_[0]{version} = raw($v) }] }
    grep { !/^\d{3,}$/ } @numbers;
number("baseVersion", sub { \$_[0]{baseVersion} });

my $version = 0;
my %count;
for my $case (@cases) {
	my ($field, $value, $set) = @$case;
	my $body = document($version + 1, $set);
	my ($status) = call("POST", "/api/config/replace", $body);
	my $shown = length($value) > 40 ? length($value) . " bytes" : $value;

	$shown =~ s/([^\x20-\x7e])/sprintf "\\x%02x", ord $1/ge;
	if ($status != 200) {
		$count{"refused $status"}++;
		print "$field $shown: status $status\n"
		    unless $status =~ /^(400|409|412|413|422)$/;
		next;
	}
	$count{taken}++;
	my $sent = $json->decode($body);
	my ($read, $text) = call("GET", "/api/config/get", "");
	my $got = eval { $json->decode($text) } // {};
	$version = $sent->{version};
	for my $part (qw(version limits services routes)) {
		print "$field $shown: $part reads back as something else\n"
		    if $json->encode($sent->{$part}) ne
			$json->encode($got->{$part});
	}
}
print "$_: $count{$_}\n" for sort keys %count;
