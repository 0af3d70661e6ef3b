// IPv4 addresses with a port.
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/net/address.h"

int
address_make(const char *host, uint32_t port, struct address *address)
{
	memset(address, 0, sizeof(*address));
	address->in.sin_family = AF_INET;
	if (port > UINT16_MAX ||
	    inet_pton(AF_INET, host, &address->in.sin_addr) != 1)
		return -1;
	address->in.sin_port = htons((uint16_t)port);
	return 0;
}

int
address_parse(const char *text, struct address *address)
{
	const char *colon = strrchr(text, ':');
	char host[ADDRESS_TEXT_BYTES];
	char *end;
	unsigned long port;

	if (colon == NULL || (size_t)(colon - text) >= sizeof(host) ||
	    colon[1] < '0' || colon[1] > '9')
		return -1;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	port = strtoul(colon + 1, &end, 10);
	if (*end != '\0' || port > UINT16_MAX)
		return -1;
	return address_make(host, (uint32_t)port, address);
}

int
address_parse_server(const char *text, struct address *address)
{
	if (address_parse(text, address) != 0)
		return -1;
	return address->in.sin_port == 0 ? -1 : 0;
}

void
address_format(const struct address *address, char out[ADDRESS_TEXT_BYTES])
{
	char host[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &address->in.sin_addr, host, sizeof(host));
	snprintf(out, ADDRESS_TEXT_BYTES, "%s:%u", host,
	    ntohs(address->in.sin_port));
}

bool
address_equals(const struct address *a, const struct address *b)
{
	return a->in.sin_addr.s_addr == b->in.sin_addr.s_addr &&
	    a->in.sin_port == b->in.sin_port;
}
