// UDP sockets that carry one message per datagram.
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/net/net.h"
#include "io/net/volume.h"

#define RECEIVE_BATCH	    64
#define SOCKET_BUFFER_BYTES (1024 * 1024)

static void
on_readable(void *arg, uint32_t events)
{
	struct datagram_socket *socket = arg;
	char bytes[DATAGRAM_MAX_BYTES + 1];
	struct message message;
	struct address from;
	struct error err;
	socklen_t len;
	ssize_t n;
	int i;

	(void)events;
	for (i = 0; i < RECEIVE_BATCH; i++) {
		len = sizeof(from.in);
		n = recvfrom(socket->watch.fd, bytes, sizeof(bytes), 0,
		    (struct sockaddr *)&from.in, &len);
		if (n < 0)
			return;
		socket->received_bytes += (uint64_t)n;
		socket->received_count++;
		if (n > DATAGRAM_MAX_BYTES ||
		    message_unpack(&message, bytes, (size_t)n, &err) != 0) {
			socket->rejected_count++;
			continue;
		}
		socket->on_message(socket->owner, &from, &message);
		message_free(&message);
	}
}

int
datagram_open(struct datagram_socket *sock, struct loop *loop,
    const struct address *at, void *owner,
    void (*on_message)(
	void *owner, const struct address *from, struct message *message),
    struct address *bound, struct error *err)
{
	char text[ADDRESS_TEXT_BYTES];
	int buffer_bytes = SOCKET_BUFFER_BYTES;
	socklen_t len = sizeof(bound->in);
	int fd;

	memset(sock, 0, sizeof(*sock));
	address_format(at, text);
	fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return error_set(
		    err, ERR_IO, "bind", text, "%s", strerror(errno));
	setsockopt(
	    fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
	if (bind(fd, (const struct sockaddr *)&at->in, sizeof(at->in)) != 0 ||
	    getsockname(fd, (struct sockaddr *)&bound->in, &len) != 0) {
		error_set(err, ERR_IO, "bind", text, "%s", strerror(errno));
		close(fd);
		return -1;
	}
	sock->loop = loop;
	sock->owner = owner;
	sock->on_message = on_message;
	sock->watch.fn = on_readable;
	sock->watch.arg = sock;
	loop_watch_set(loop, &sock->watch, fd, LOOP_READ);
	return 0;
}

void
datagram_close(struct datagram_socket *sock)
{
	int fd = sock->watch.fd;

	if (sock->loop == NULL)
		return;
	loop_watch_set(sock->loop, &sock->watch, fd, 0);
	close(fd);
	sock->loop = NULL;
}

void
datagram_send(struct datagram_socket *sock, const struct address *to,
    enum message_type type, const char *bytes, size_t size_bytes)
{
	ssize_t n = sendto(sock->watch.fd, bytes, size_bytes, MSG_NOSIGNAL,
	    (const struct sockaddr *)&to->in, sizeof(to->in));

	if (n > 0) {
		sock->sent_bytes += (uint64_t)n;
		sock->sent_count++;
		volume_count(type, to, (size_t)n + VOLUME_UDP_HEAD_BYTES);
	}
}
