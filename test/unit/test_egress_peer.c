// Streams of ingresses at an egress that ends them.
#include <apr_general.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/dialect.h"
#include "proxy/egress/egress_peer.h"
#include "unit/support.h"

#define CLIENTS	  3
#define MAX_TURNS 8
#define LIMIT_US  2000000

/// An egress, and ingresses that ask for its load and reset their streams.
struct peers {
	struct loop *loop;
	struct egress_server *server;
	struct address at;
	struct loop_timer connect_timer;
	struct loop_timer finish_timer;
	struct loop_timer limit_timer;
	uint32_t turns;	      ///< Of the loop since they have connected.
	uint32_t finish_turn; ///< At which the egress ends the streams.
};

/// Connects an ingress whose last message is followed by a reset.
static void
ask_and_reset(const struct address *at)
{
	struct linger linger = {.l_onoff = 1};
	struct message_hello hello = {.incarnation = 1, .sequence = 1};
	struct message_heartbeat beat = {0};
	msgpack_sbuffer out;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	hello.name = bytes_from_string("ingress");
	msgpack_sbuffer_init(&out);
	message_pack_frame(&out, MESSAGE_HELLO, &hello);
	message_pack_frame(&out, MESSAGE_HEARTBEAT, &beat);
	assert_int_equal(
	    connect(fd, (const struct sockaddr *)&at->in, sizeof(at->in)), 0);
	assert_int_equal(send(fd, out.data, out.size, 0), (ssize_t)out.size);
	msgpack_sbuffer_destroy(&out);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

static void
on_connect(void *arg)
{
	struct peers *p = arg;
	uint32_t i;

	for (i = 0; i < CLIENTS; i++)
		ask_and_reset(&p->at);
	loop_timer_set(p->loop, &p->finish_timer, loop_now_us(p->loop) + 1);
}

static void
on_finish(void *arg)
{
	struct peers *p = arg;

	if (++p->turns >= p->finish_turn &&
	    egress_server_finish(p->server) == 0 && p->turns >= MAX_TURNS)
		loop_stop(p->loop);
	loop_timer_set(p->loop, &p->finish_timer, loop_now_us(p->loop) + 1);
}

static void
on_limit(void *arg)
{
	(void)arg;
	fail_msg("the streams have not ended");
}

/// Streams that break as they are ended are gone, and the others are ended too: at
/// whichever turn of the loop the answers are queued.
static void
test_finish_of_reset_streams(void **state)
{
	const struct egress_settings settings = {
	    .dialect = dialect_find("own"), .max_queued = 1};
	uint32_t turn;

	(void)state;
	assert_non_null(settings.dialect);
	for (turn = 1; turn <= MAX_TURNS; turn++) {
		struct peers p = {.finish_turn = turn};
		struct egress *egress;
		struct address any;
		struct error err;

		assert_int_equal(address_make("127.0.0.1", 0, &any), 0);
		p.loop = loop_create("test", &err);
		assert_non_null(p.loop);
		egress = egress_create(p.loop, &settings, &err);
		assert_non_null(egress);
		p.server = egress_server_open(
		    p.loop, egress, NULL, &any, 1, &p.at, &err);
		assert_non_null(p.server);
		p.connect_timer.fn = on_connect;
		p.finish_timer.fn = on_finish;
		p.limit_timer.fn = on_limit;
		p.connect_timer.arg = p.finish_timer.arg = &p;
		loop_timer_set(p.loop, &p.connect_timer, loop_now_us(p.loop));
		loop_timer_set(
		    p.loop, &p.limit_timer, loop_now_us(p.loop) + LIMIT_US);
		loop_run(p.loop);
		egress_server_close(p.server);
		egress_destroy(egress);
		loop_destroy(p.loop);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_finish_of_reset_streams),
	};
	int rc;

	apr_initialize();
	rc = cmocka_run_group_tests(tests, NULL, NULL);
	apr_terminate();
	return rc;
}
