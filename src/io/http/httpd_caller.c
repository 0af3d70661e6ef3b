// Connections of callers, and what each makes the server hold.
#include <assert.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "io/clock.h"
#include "io/http/httpd_exchange.h"

/// What a connection takes besides the memory for its heads.
#define CONNECTION_STATE_BYTES (2 * 1024)

void
caller_update(struct caller *caller)
{
	const struct exchange *x = caller->exchange;
	size_t held_bytes = CONNECTION_MEMORY_BYTES + CONNECTION_STATE_BYTES;

	if (x != NULL)
		held_bytes += x->body_capacity_bytes + x->out_capacity_bytes +
		    x->response_bytes;
	memory_holder_set(&caller->holder, (int64_t)held_bytes);
}

struct caller *
caller_open(struct httpd *httpd, struct MHD_Connection *connection,
    const struct memory_holder_ops *ops)
{
	struct caller *caller = calloc(1, sizeof(*caller));
	const union MHD_ConnectionInfo *info;
	uint32_t peer = 0;

	assert(caller != NULL);
	caller->httpd = httpd;
	caller->close_deadline_us = DEADLINE_NEVER_US;
	info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	caller->fd = info == NULL ? -1 : info->connect_fd;
	info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	if (info != NULL && info->client_addr->sa_family == AF_INET)
		peer = ntohl(((const struct sockaddr_in *)info->client_addr)
				 ->sin_addr.s_addr);
	caller->next = httpd->callers;
	if (caller->next != NULL)
		caller->next->prev = caller;
	httpd->callers = caller;
	httpd->caller_count++;
	caller->holder.ops = ops;
	memory_account_add(
	    httpd->account, &caller->holder, peer, loop_now_us(httpd->loop));
	caller_update(caller);
	return caller;
}

void
caller_free(struct caller *caller)
{
	struct httpd *httpd = caller->httpd;

	memory_account_remove(&caller->holder);
	if (caller->prev != NULL)
		caller->prev->next = caller->next;
	else
		httpd->callers = caller->next;
	if (caller->next != NULL)
		caller->next->prev = caller->prev;
	httpd->caller_count--;
	free(caller);
}

struct caller *
caller_find(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	assert(info != NULL && info->socket_context != NULL);
	return info->socket_context;
}

void
caller_begin(struct caller *caller, struct exchange *x)
{
	int64_t now_us = loop_now_us(caller->httpd->loop);

	x->caller = caller;
	caller->exchange = x;
	memory_holder_set_waits(&caller->holder, true, now_us);
	memory_holder_set_waits(&caller->holder, false, now_us);
}
