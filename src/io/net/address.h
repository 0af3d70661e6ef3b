/// @file
/// IPv4 addresses with a port, as "IP:port".
#ifndef MV_IO_NET_ADDRESS_H
#define MV_IO_NET_ADDRESS_H

#include <netinet/in.h>
#include <stdint.h>

#define ADDRESS_TEXT_BYTES 32

/// An IP number and a port.
struct address {
	struct sockaddr_in in;
};

/// Parses "IP:port".
///
/// @return 0, or -1 if the text is anything else
int address_parse(const char *text, struct address *address);

/// Makes an address of an IP number and a port.
///
/// @return 0, or -1 if the host is not an IP number or the port is invalid
int address_make(const char *host, uint32_t port, struct address *address);

/// Writes "IP:port".
void address_format(
    const struct address *address, char out[ADDRESS_TEXT_BYTES]);

#endif
