/// @file
/// IPv4 addresses with a port, written as "IP:port".
#ifndef MV_IO_NET_ADDRESS_H
#define MV_IO_NET_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#define ADDRESS_TEXT_BYTES 32

/// An IPv4 address and a port.
struct address {
	struct sockaddr_in in;
};

/// Parses "IP:port".
///
/// @return 0, or -1 if the text is malformed
int address_parse(const char *text, struct address *address);

/// Parses the "IP:port" of a server: the port must not be 0.
///
/// @return 0, or -1 if nothing can listen there
int address_parse_server(const char *text, struct address *address);

/// Makes an address from an IPv4 address in text form and a port.
///
/// @return 0, or -1 if the host is not an IPv4 address or the port is invalid
int address_make(const char *host, uint32_t port, struct address *address);

/// Formats an address as "IP:port".
void address_format(
    const struct address *address, char out[ADDRESS_TEXT_BYTES]);

/// Returns whether host and port are the same.
bool address_equals(const struct address *a, const struct address *b);

#endif
