// TCP relays that inject network faults.
#include <apr_general.h>
#include <apr_thread_proc.h>
#include <assert.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/clock.h"
#include "io/loop.h"
#include "io/net/dial.h"
#include "soak/relay.h"

#define MAX_RELAYS   128
#define CHUNK_BYTES  (64 * 1024)
#define DELAY_US     (60 * US_PER_MS)
#define LISTEN_QUEUE 256

/// Bytes that wait to be forwarded in one direction.
struct chunk {
	struct chunk *next;
	int64_t send_after_us;
	size_t size_bytes;
	size_t sent_bytes;
	char bytes[];
};

/// One socket of a relayed connection.
struct end {
	struct loop_watch watch;
	struct pair *pair;
	struct end *other;
	struct chunk *first; ///< To be written to this end.
	struct chunk **last;
	bool eof_received; ///< The peer sent the end of its stream.
	bool eof_sent;	   ///< The end of the other stream was forwarded here.
};

/// A relayed connection.
struct pair {
	struct relay *relay;
	struct pair *next;
	struct pair *prev;
	struct end ends[2]; ///< To the caller, to the target.
	struct loop_timer timer;
	bool silent; ///< Forwards nothing any more.
};

struct relay {
	struct relays *relays;
	struct loop_watch watch;
	struct address to;
	enum relay_fault fault;
	struct pair *first;
};

struct relays {
	struct loop *loop;
	apr_pool_t *pool;
	apr_thread_t *thread;
	struct relay relays[MAX_RELAYS];
	uint32_t count;
};

const char *
relay_fault_get_name(enum relay_fault fault)
{
	static const char *const names[RELAY_FAULT_COUNT] = {
	    "clear", "delay", "reset", "silent", "cut there", "cut back"};

	return names[fault];
}

static void
pair_free(struct pair *pair, bool reset)
{
	struct loop *loop = pair->relay->relays->loop;
	struct linger reset_on_close = {.l_onoff = 1, .l_linger = 0};
	int i;

	loop_timer_clear(loop, &pair->timer);
	for (i = 0; i < 2; i++) {
		struct end *e = &pair->ends[i];

		if (reset)
			setsockopt(e->watch.fd, SOL_SOCKET, SO_LINGER,
			    &reset_on_close, sizeof(reset_on_close));
		loop_watch_set(loop, &e->watch, e->watch.fd, 0);
		close(e->watch.fd);
		while (e->first != NULL) {
			struct chunk *c = e->first;

			e->first = c->next;
			free(c);
		}
	}
	if (pair->prev != NULL)
		pair->prev->next = pair->next;
	else
		pair->relay->first = pair->next;
	if (pair->next != NULL)
		pair->next->prev = pair->prev;
	free(pair);
}

/// Returns whether a fault keeps bytes from being written to a socket.
static bool
is_blocked(const struct end *e)
{
	const struct pair *pair = e->pair;
	enum relay_fault fault = pair->relay->fault;

	if (pair->silent)
		return true;
	if (e == &pair->ends[1])
		return fault == RELAY_BLOCK_TO_TARGET;
	return fault == RELAY_BLOCK_TO_CALLER;
}

/// Writes the chunks that are due, then forwards the end of the stream.
///
/// @return false if the connection was freed
static bool
flush_end(struct end *e)
{
	struct pair *pair = e->pair;
	struct loop *loop = pair->relay->relays->loop;
	uint32_t events = e->eof_received ? 0 : LOOP_READ;

	while (e->first != NULL && !is_blocked(e)) {
		struct chunk *c = e->first;
		ssize_t n;

		if (c->send_after_us > loop_now_us(loop)) {
			loop_timer_set(loop, &pair->timer, c->send_after_us);
			break;
		}
		n = send(e->watch.fd, c->bytes + c->sent_bytes,
		    c->size_bytes - c->sent_bytes, MSG_NOSIGNAL);
		if (n < 0 && (errno == EAGAIN || errno == ENOTCONN)) {
			events |= LOOP_WRITE;
			break;
		}
		if (n < 0) {
			pair_free(pair, true);
			return false;
		}
		c->sent_bytes += (size_t)n;
		if (c->sent_bytes < c->size_bytes)
			continue;
		e->first = c->next;
		if (e->first == NULL)
			e->last = &e->first;
		free(c);
	}
	if (e->first == NULL && e->other->eof_received && !e->eof_sent &&
	    !is_blocked(e)) {
		e->eof_sent = true;
		shutdown(e->watch.fd, SHUT_WR);
	}
	if (pair->ends[0].eof_sent && pair->ends[1].eof_sent) {
		pair_free(pair, false);
		return false;
	}
	loop_watch_set(loop, &e->watch, e->watch.fd, events);
	return true;
}

static void
on_timer(void *arg)
{
	struct pair *pair = arg;

	if (flush_end(&pair->ends[0]))
		flush_end(&pair->ends[1]);
}

static void
on_ready(void *arg, uint32_t events)
{
	static char buffer[CHUNK_BYTES];
	struct end *e = arg;
	struct pair *pair = e->pair;
	struct end *to = e->other;
	struct loop *loop = pair->relay->relays->loop;
	struct chunk *c;
	ssize_t n;

	if ((events & LOOP_WRITE) != 0 && !flush_end(e))
		return;
	if ((events & (LOOP_READ | LOOP_ERROR)) == 0 || e->eof_received)
		return;
	n = recv(e->watch.fd, buffer, sizeof(buffer), MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == ENOTCONN))
		return;
	if (n < 0) {
		pair_free(pair, true);
		return;
	}
	if (n == 0)
		e->eof_received = true;
	else {
		c = malloc(sizeof(*c) + (size_t)n);
		assert(c != NULL);
		memset(c, 0, sizeof(*c));
		memcpy(c->bytes, buffer, (size_t)n);
		c->size_bytes = (size_t)n;
		c->send_after_us = loop_now_us(loop) +
		    (pair->relay->fault == RELAY_DELAY ? DELAY_US : 0);
		*to->last = c;
		to->last = &c->next;
	}
	if (flush_end(to) && e->eof_received)
		flush_end(e);
}

static void
end_init(struct pair *pair, int i, int fd)
{
	struct end *e = &pair->ends[i];
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	e->watch.fn = on_ready;
	e->watch.arg = e;
	e->watch.fd = fd;
	e->pair = pair;
	e->other = &pair->ends[1 - i];
	e->last = &e->first;
	loop_watch_set(
	    pair->relay->relays->loop, &e->watch, fd, LOOP_READ | LOOP_WRITE);
}

static void
on_accept(void *arg, uint32_t events)
{
	struct relay *relay = arg;
	struct pair *pair;
	struct error err;
	int out_fd;
	int fd;

	(void)events;
	fd = accept4(relay->watch.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd < 0)
		return;
	out_fd = dial_start(&relay->to, &err);
	if (out_fd < 0) {
		close(fd);
		return;
	}
	pair = calloc(1, sizeof(*pair));
	assert(pair != NULL);
	pair->relay = relay;
	pair->timer.fn = on_timer;
	pair->timer.arg = pair;
	pair->next = relay->first;
	if (pair->next != NULL)
		pair->next->prev = pair;
	relay->first = pair;
	end_init(pair, 0, fd);
	end_init(pair, 1, out_fd);
}

uint32_t
relays_add(
    struct relays *relays, const struct address *at, const struct address *to)
{
	struct relay *relay = &relays->relays[relays->count];
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	assert(relays->count < MAX_RELAYS && fd >= 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (const struct sockaddr *)&at->in, sizeof(at->in)) != 0 ||
	    listen(fd, LISTEN_QUEUE) != 0)
		abort();
	relay->relays = relays;
	relay->to = *to;
	relay->watch.fn = on_accept;
	relay->watch.arg = relay;
	loop_watch_set(relays->loop, &relay->watch, fd, LOOP_READ);
	return relays->count++;
}

/// A change of a fault, passed to the thread of the relays.
struct fault_change {
	struct relay *relay;
	enum relay_fault fault;
};

static void
apply_fault_change(void *arg)
{
	struct fault_change *fault_change = arg;
	struct relay *relay = fault_change->relay;
	struct pair *pair = relay->first;

	relay->fault = fault_change->fault;
	while (pair != NULL) {
		struct pair *next = pair->next;

		if (fault_change->fault == RELAY_RESET)
			pair_free(pair, true);
		else if (fault_change->fault == RELAY_SILENT)
			pair->silent = true;
		else
			on_timer(pair);
		pair = next;
	}
	free(fault_change);
}

void
relays_set_fault(struct relays *relays, uint32_t number, enum relay_fault fault)
{
	struct fault_change *fault_change = calloc(1, sizeof(*fault_change));

	assert(fault_change != NULL && number < relays->count);
	fault_change->relay = &relays->relays[number];
	fault_change->fault = fault;
	loop_post(relays->loop, apply_fault_change, fault_change);
}

static void *APR_THREAD_FUNC
run(apr_thread_t *thread, void *arg)
{
	struct relays *relays = arg;

	(void)thread;
	loop_run(relays->loop);
	return NULL;
}

struct relays *
relays_create(void)
{
	struct relays *relays = calloc(1, sizeof(*relays));
	struct error err;

	assert(relays != NULL);
	relays->loop = loop_create("relay", &err);
	assert(relays->loop != NULL);
	apr_pool_create(&relays->pool, NULL);
	return relays;
}

void
relays_start(struct relays *relays)
{
	if (apr_thread_create(
		&relays->thread, NULL, run, relays, relays->pool) != 0)
		abort();
}

void
relays_destroy(struct relays *relays)
{
	apr_status_t rc;
	uint32_t i;

	loop_stop(relays->loop);
	apr_thread_join(&rc, relays->thread);
	for (i = 0; i < relays->count; i++) {
		struct relay *relay = &relays->relays[i];

		while (relay->first != NULL)
			pair_free(relay->first, true);
		close(relay->watch.fd);
	}
	loop_destroy(relays->loop);
	apr_pool_destroy(relays->pool);
	free(relays);
}
