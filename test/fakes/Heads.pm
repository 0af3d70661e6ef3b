# Reads HTTP heads twice, as a strict and as a lenient reader would.
#
# The strict reader ends lines at CRLF. The lenient one ends them at CR, LF or CRLF,
# ends a value at a NUL, allows blanks around a name, and takes a line that begins with
# a blank for a part of the one before.
package Heads;
use strict;
use warnings;
use Exporter "import";
our @EXPORT = qw(escape_bytes find_flaws read_strictly read_leniently read_table);

our $token = qr/[!#\$%&'*+\-.^_`|~0-9A-Za-z]+/;
my @single = qw(host content-length transfer-encoding content-type
    x-magnoliavalve-attempt-id x-magnoliavalve-caller-service
    x-magnoliavalve-deadline-ms x-magnoliavalve-expected-instance
    x-magnoliavalve-response-signature);
my %escapes = (r => "\r", n => "\n", t => "\t", 0 => "\0", "\\" => "\\");

# The fields of a head without its first line: [name, value], ...
sub read_strictly {
	my ($head) = @_;
	return map { /^([^:]*):[ \t]*(.*?)[ \t]*$/s ? [lc $1, $2] :
	    ["no colon", $_] } split /\r\n/, $head;
}

sub read_leniently {
	my ($head) = @_;
	my @fields;
	for my $line (split /\r\n|\r|\n/, $head) {
		$line =~ s/\0.*//s;
		if ($line =~ /^[ \t]/ && @fields) {
			$fields[-1][1] .= " $line";
			next;
		}
		push @fields, $line =~ /^\s*([^:]*?)\s*:[ \t]*(.*?)\s*$/s ?
		    [lc $1, $2] : ["no colon", $line];
	}
	return @fields;
}

# What is wrong with a head: "sound", or a list of: the readers differ, a name is not a
# token, a value holds a control character, framing fields beside each other, a field
# twice that may stand once.
sub find_flaws {
	my ($head) = @_;
	my @strict = read_strictly($head);
	my @lenient = read_leniently($head);
	my (%flaws, %count);
	for my $f (@strict) {
		$flaws{"name"}++ if $f->[0] !~ /^$token$/;
		$flaws{"value"}++ if $f->[1] =~ /[\x00-\x08\x0a-\x1f\x7f]/;
	}
	$flaws{"differs"}++ if join("\n", map { "@$_" } @strict) ne
	    join("\n", map { "@$_" } @lenient);
	$count{$_->[0]}++ for @lenient;
	$flaws{"framing"}++ if $count{"content-length"} &&
	    $count{"transfer-encoding"};
	for (@lenient) {
		$flaws{"framing"}++ if $_->[0] eq "content-length" &&
		    $_->[1] !~ /^\d+$/;
		$flaws{"framing"}++ if $_->[0] eq "transfer-encoding" &&
		    $_->[1] ne "chunked";
	}
	$flaws{"twice"}++ if grep { ($count{$_} // 0) > 1 } @single;
	return join(",", sort keys %flaws) || "sound";
}

# \r \n \t \0 \\ and \xNN stand for bytes.
sub unescape_bytes {
	my ($text) = @_;
	$text =~ s/\\(?:x([0-9a-fA-F]{2})|([rnt0\\]))/defined $1 ? chr hex $1 :
	    $escapes{$2}/ge;
	return $text;
}

sub escape_bytes {
	my ($bytes) = @_;
	return $bytes =~ s/([^ -~])/sprintf "\\x%02x", ord $1/ger;
}

# Reads a table: lines of columns between " | ", whose blanks at the end are cut.
# Returns [label, column, ...], ...
sub read_table {
	my ($file) = @_;
	my @rows;
	while (my $line = <$file>) {
		chomp $line;
		next if $line =~ /^#|^\s*$/;
		my ($label, @columns) = split / \| ?/, "$line ", 4;
		push @rows, [$label =~ s/ +$//r, map { unescape_bytes(s/ +$//r) }
		    @columns];
	}
	return @rows;
}

1;
