// Non-blocking TCP connect.
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/net/dial.h"

int
dial_start(const struct address *to, struct error *err)
{
	char peer[ADDRESS_TEXT_BYTES];
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd >= 0) {
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		if (connect(fd, (const struct sockaddr *)&to->in,
			sizeof(to->in)) == 0 ||
		    errno == EINPROGRESS)
			return fd;
	}
	address_format(to, peer);
	error_set(err, ERR_IO, "connect", peer, "%s", strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

int
dial_result(int fd)
{
	int so_error = 0;
	socklen_t len = sizeof(so_error);

	getsockopt(fd, SOL_SOCKET, SO_ERROR, &so_error, &len);
	return so_error;
}
