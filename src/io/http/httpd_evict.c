// Connections of callers that give way, when memory is full or few are left.
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>

#include "io/clock.h"
#include "io/http/httpd_exchange.h"
#include "io/log/counters.h"
#include "io/log/log.h"

/// Connections that are kept free for further callers: one in so many.
#define FREE_CONNECTIONS_DIVISOR 16

/// Time for a caller to read a refusal before its connection is closed.
#define REFUSAL_LINGER_US (1 * US_PER_S)

/// Share of the account that such callers may hold meanwhile: one part in so many.
#define LINGER_DIVISOR 8

COUNTER_DEFINE(count_refused, "http_callers_refused_memory",
    "Requests refused before they were complete, since memory was full");
COUNTER_DEFINE(count_closed_memory, "http_callers_closed_memory",
    "Connections closed, since memory was full");
COUNTER_DEFINE(count_closed_limit, "http_callers_closed_limit",
    "Connections closed near the limit on connections");

static struct caller *
caller_from_holder(struct memory_holder *holder)
{
	return (struct caller *)holder;
}

static void
log_closed(const struct caller *caller, const char *why)
{
	int64_t now_us = loop_now_us(caller->httpd->loop);
	uint32_t peer = caller->holder.peer;
	char address[INET_ADDRSTRLEN];
	struct log_line line;

	snprintf(address, sizeof(address), "%u.%u.%u.%u", peer >> 24,
	    peer >> 16 & 0xff, peer >> 8 & 0xff, peer & 0xff);
	log_begin(&line, LOG_INFO, "http", "Closing a caller's connection.");
	log_text(&line, "why", why);
	log_text(&line, "from", address);
	log_number(&line, "held_bytes", caller->holder.held_bytes);
	log_ms(&line, "behind_ms",
	    memory_holder_behind_us(&caller->holder, now_us));
	log_number(&line, "account_bytes", caller->httpd->account->held_bytes);
	log_number(&line, "connections", caller->httpd->caller_count);
	log_end(&line);
}

static void
close_caller(struct caller *caller)
{
	caller->close_deadline_us = DEADLINE_NEVER_US;
	shutdown(caller->fd, SHUT_RDWR);
	if (caller->exchange != NULL && caller->exchange->pub.method != NULL)
		exchange_end_abandoned(caller->exchange);
	caller->httpd->run_pending = true;
	loop_wake_hooks(caller->httpd->loop);
}

/// Refuses a request of which nothing was passed on. The library sends a response
/// only after the body, which may never end, so that it is sent here.
static void
refuse_incomplete(struct caller *caller)
{
	const struct memory_account *account = caller->httpd->account;
	struct exchange *x = caller->exchange;
	const char *outcome =
	    http_exchange_get_header(&x->pub, "Idempotency-Key") == NULL
	    ? "not-run"
	    : "refused";
	char text[256];
	int n = snprintf(text, sizeof(text),
	    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
	    "Magnolia-Outcome: %s\r\nConnection: close\r\n"
	    "Content-Length: 0\r\n\r\n",
	    outcome);

	counter_add(&count_refused, 1);
	(void)!send(caller->fd, text, (size_t)n, MSG_NOSIGNAL | MSG_DONTWAIT);
	shutdown(caller->fd, SHUT_WR);
	x->discarding = true;
	exchange_drop_body(x);
	if (account->leaving_bytes > account->limit_bytes / LINGER_DIVISOR) {
		close_caller(caller);
		return;
	}
	caller->close_deadline_us =
	    loop_now_us(caller->httpd->loop) + REFUSAL_LINGER_US;
}

static void
evict(struct memory_holder *holder)
{
	struct caller *caller = caller_from_holder(holder);
	const struct exchange *x = caller->exchange;

	log_closed(caller, "memory is full");
	if (x != NULL && x->pub.method != NULL && !x->dispatched &&
	    !x->discarding && !x->upload_done) {
		refuse_incomplete(caller);
		return;
	}
	counter_add(&count_closed_memory, 1);
	close_caller(caller);
}

const struct memory_holder_ops caller_holder_ops = {.evict = evict};

/// Finds the connection that gives least: one without a request that was passed on,
/// or else any, that has been behind for longest. Returns NULL if none is behind.
static struct caller *
find_stranger(const struct httpd *httpd, int64_t now_us)
{
	struct caller *worst = NULL;
	bool worst_is_idle = false;
	int64_t worst_us = 0;
	struct caller *c;

	for (c = httpd->callers; c != NULL; c = c->next) {
		int64_t behind_us = memory_holder_behind_us(&c->holder, now_us);
		bool is_idle = c->exchange == NULL || !c->exchange->dispatched;

		if (c->holder.leaving || behind_us == 0 ||
		    (worst_is_idle && !is_idle) ||
		    (worst_is_idle == is_idle && behind_us <= worst_us))
			continue;
		worst = c;
		worst_is_idle = is_idle;
		worst_us = behind_us;
	}
	return worst;
}

void
caller_close_strangers(struct httpd *httpd, int64_t now_us)
{
	int64_t max = httpd->limits.max_connections -
	    httpd->limits.max_connections / FREE_CONNECTIONS_DIVISOR;
	int64_t excess = (int64_t)httpd->caller_count - max;
	struct caller *c;

	for (c = httpd->callers; c != NULL; c = c->next)
		if (c->close_deadline_us <= now_us)
			close_caller(c);
	for (; excess > 0; excess--) {
		c = find_stranger(httpd, now_us);
		if (c == NULL)
			return;
		counter_add(&count_closed_limit, 1);
		log_closed(c, "few connections are left");
		memory_holder_mark_leaving(&c->holder);
		close_caller(c);
	}
}
