// Messages: round trips, damaged input and size limits.
#include <stdlib.h>
#include <string.h>

#include "core/random.h"
#include "unit/support.h"
#include "wire/gossip_codec.h"
#include "wire/messages.h"
#include "wire/request_copy.h"

static void
pack_request(msgpack_sbuffer *out)
{
	struct message_header headers[2];
	struct message_request m = {.id = 7,
	    .egress_incarnation = 9,
	    .deadline_left_us = -5,
	    .once = 1,
	    .total_bytes = -1};

	headers[0].name = bytes_from_string("A");
	headers[0].value = bytes_from_string("");
	headers[1].name = bytes_from_string("B");
	headers[1].value = bytes_from_string("two");
	m.method = bytes_from_string("POST");
	m.target = bytes_from_string("/x?y");
	m.body = bytes_from_string("body");
	m.headers.items = headers;
	m.headers.count = 2;
	msgpack_sbuffer_init(out);
	message_pack(out, MESSAGE_REQUEST, &m);
}

static void
check_request(const struct message_request *m)
{
	const struct message_header *h = m->headers.items;
	struct bytes value;

	assert_int_equal(m->id, 7);
	assert_int_equal(m->deadline_left_us, -5);
	assert_int_equal(m->total_bytes, -1);
	assert_int_equal(m->headers.count, 2);
	assert_memory_equal(h[1].value.data, "two", 3);
	assert_memory_equal(m->target.data, "/x?y", 4);
	assert_true(header_list_find(&m->headers, "b", &value));
	assert_false(header_list_find(&m->headers, "c", &value));
}

static void
test_round_trip(void **state)
{
	struct message_request *copy;
	struct message m;
	struct error err;
	msgpack_sbuffer out;

	(void)state;
	pack_request(&out);
	assert_int_equal(message_unpack(&m, out.data, out.size, &err), 0);
	assert_int_equal(m.type, MESSAGE_REQUEST);
	check_request(&m.u.request);
	copy = message_request_copy(&m.u.request);
	message_free(&m);
	memset(out.data, 0, out.size);
	check_request(copy);
	free(copy);
	msgpack_sbuffer_destroy(&out);
}

/// Rejects every truncated message. A message with one random byte is rejected
/// or decoded; the sanitizers detect reads out of bounds.
static void
test_truncated_and_corrupted(void **state)
{
	struct random random = {3, 0};
	struct message m;
	struct error err;
	msgpack_sbuffer out;
	size_t i;
	int round;

	(void)state;
	pack_request(&out);
	for (i = 0; i < out.size; i++) {
		char *part = malloc(i + 1);

		memcpy(part, out.data, i);
		assert_int_equal(message_unpack(&m, part, i, &err), -1);
		free(part);
	}
	for (i = 0; i < out.size; i++)
		for (round = 0; round < 20; round++) {
			char saved = out.data[i];

			out.data[i] = (char)random_next(&random);
			if (message_unpack(&m, out.data, out.size, &err) == 0)
				message_free(&m);
			out.data[i] = saved;
		}
	msgpack_sbuffer_destroy(&out);
}

static void
set_member(struct member *m, const char *name)
{
	strcpy(m->name, name);
	strcpy(m->host, "127.0.0.1");
	m->control_port = m->peer_port = 7003;
}

static void
test_gossip(void **state)
{
	struct gossip g = {
	    .kind = GOSSIP_ACK, .sequence = 5, .update_count = 2};
	struct gossip got;
	struct message m;
	struct error err;
	msgpack_sbuffer out;

	(void)state;
	set_member(&g.from, "n1");
	set_member(&g.updates[0], "n2");
	set_member(&g.updates[1], "n3");
	g.updates[1].status = MEMBER_DEAD;
	g.updates[1].version = 41;
	msgpack_sbuffer_init(&out);
	gossip_pack(&out, &g);
	assert_int_equal(message_unpack(&m, out.data, out.size, &err), 0);
	assert_int_equal(gossip_from_message(&m.u.gossip, &got, &err), 0);
	assert_string_equal(got.updates[1].name, "n3");
	assert_int_equal(got.updates[1].status, MEMBER_DEAD);
	assert_int_equal(got.updates[1].version, 41);
	m.u.gossip.from.name.size_bytes = 0;
	assert_int_equal(gossip_from_message(&m.u.gossip, &got, &err), -1);
	message_free(&m);
	msgpack_sbuffer_destroy(&out);
}

static void
set_largest_numbers(struct member *m)
{
	m->control_port = m->peer_port = 65535;
	m->incarnation = MEMBER_MAX_INCARNATION;
	m->revision = MEMBER_MAX_REVISION;
	m->slots = MEMBER_MAX_SLOTS;
	m->load_pct = UINT32_MAX;
	m->server = UINT64_MAX;
	m->version = CODEC_MAX_COUNT;
}

/// The largest gossip message with names of common length fits a datagram.
static void
test_gossip_fits_datagram(void **state)
{
	struct gossip g = {.kind = GOSSIP_NOTICE,
	    .sequence = UINT64_MAX,
	    .update_count = GOSSIP_MAX_UPDATES};
	msgpack_sbuffer out;
	uint32_t i;

	(void)state;
	for (i = 0; i <= GOSSIP_MAX_UPDATES; i++) {
		struct member *m =
		    i == GOSSIP_MAX_UPDATES ? &g.from : &g.updates[i];

		strcpy(m->name, "vm-0123456789.north");
		strcpy(m->host, "255.255.255.255");
		strcpy(m->region, "westside");
		strcpy(m->dc, "westside-1");
		strcpy(m->service, "breakbook-edge");
		strcpy(m->server_version, "v1.12.3");
		set_largest_numbers(m);
	}
	msgpack_sbuffer_init(&out);
	gossip_pack(&out, &g);
	assert_true(out.size <= DATAGRAM_MAX_BYTES);
	msgpack_sbuffer_destroy(&out);
}

/// With the longest names, a message has as many updates as fit a datagram, and
/// the sender's record in any case.
static void
test_long_gossip_is_cut(void **state)
{
	struct gossip g = {
	    .kind = GOSSIP_NOTICE, .update_count = GOSSIP_MAX_UPDATES};
	struct gossip got;
	struct message message;
	struct error err;
	msgpack_sbuffer out;
	uint32_t i;

	(void)state;
	for (i = 0; i <= GOSSIP_MAX_UPDATES; i++) {
		struct member *m =
		    i == GOSSIP_MAX_UPDATES ? &g.from : &g.updates[i];

		memset(m->name, 'n', sizeof(m->name) - 1);
		memset(m->region, 'r', sizeof(m->region) - 1);
		memset(m->dc, 'd', sizeof(m->dc) - 1);
		memset(m->service, 's', sizeof(m->service) - 1);
		memset(m->server_version, 'v', sizeof(m->server_version) - 1);
		strcpy(m->host, "255.255.255.255");
		set_largest_numbers(m);
	}
	msgpack_sbuffer_init(&out);
	gossip_pack(&out, &g);
	assert_true(out.size <= DATAGRAM_MAX_BYTES);
	assert_int_equal(message_unpack(&message, out.data, out.size, &err), 0);
	assert_int_equal(gossip_from_message(&message.u.gossip, &got, &err), 0);
	assert_string_equal(got.from.name, g.from.name);
	assert_in_range(got.update_count, 4, GOSSIP_MAX_UPDATES - 1);
	message_free(&message);
	msgpack_sbuffer_destroy(&out);
}

/// Packs a message, and expects an error that names a field.
static void
expect_refused(enum message_type type, const void *value, const char *field)
{
	struct message message;
	struct error err;
	msgpack_sbuffer out;

	msgpack_sbuffer_init(&out);
	message_pack(&out, type, value);
	assert_int_equal(
	    message_unpack(&message, out.data, out.size, &err), -1);
	assert_non_null(strstr(err.text, field));
	msgpack_sbuffer_destroy(&out);
}

/// A number beyond what its field can mean is refused by the field's name.
static void
test_numbers_out_of_range(void **state)
{
	struct message_busy busy = {.retry_left_us = CODEC_MAX_TIME_US + 1};
	struct message_raft raft = {.term = CODEC_MAX_COUNT + 1};
	struct message_request request = {.total_bytes = -2};

	(void)state;
	expect_refused(MESSAGE_BUSY, &busy, "retry_left_us");
	busy.retry_left_us = INT64_MIN;
	expect_refused(MESSAGE_BUSY, &busy, "retry_left_us");
	expect_refused(MESSAGE_RAFT, &raft, "term");
	expect_refused(MESSAGE_REQUEST, &request, "total_bytes");
}

static void
expect_member_refused(const struct message_member *m, const char *field)
{
	struct member got;
	struct error err;

	assert_int_equal(member_from_message(m, &got, &err), -1);
	assert_non_null(strstr(err.text, field));
}

/// The same for the fields of a member's record, each at the first value beyond
/// its end.
static void
test_member_out_of_range(void **state)
{
	struct message_member good;
	struct message_member m;
	struct member member = {0};
	struct member got;
	struct error err;

	(void)state;
	set_member(&member, "n1");
	set_largest_numbers(&member);
	member_to_message(&member, &good);
	assert_int_equal(member_from_message(&good, &got, &err), 0);
#define REFUSED(field_, value_)                     \
	do {                                        \
		m = good;                           \
		m.field_ = (value_);                \
		expect_member_refused(&m, #field_); \
	} while (0)
	REFUSED(name, bytes_from_string(""));
	REFUSED(name, bytes_from_string("\xc3"));
	REFUSED(host, bytes_from_string("256.0.0.1"));
	REFUSED(dc, bytes_from_string("\xff"));
	REFUSED(control_port, 0);
	REFUSED(peer_port, UINT16_MAX + 1);
	REFUSED(incarnation, MEMBER_MAX_INCARNATION + 1);
	REFUSED(revision, MEMBER_MAX_REVISION + 1);
	REFUSED(status, MEMBER_LEFT + 1);
	REFUSED(backend, BACKEND_DRAINING + 1);
	REFUSED(slots, MEMBER_MAX_SLOTS + 1);
#undef REFUSED
}

/// A proxy of the version before closes a stream on a type or on a number of fields
/// that it does not know, and cuts the answers on it: what is new goes into values
/// that it does not read. A change here needs a way to tell which version the other
/// end has.
static void
test_peer_messages_keep_their_form(void **state)
{
	static const struct {
		int64_t type;
		uint32_t field_count;
	} known[] = {
	    {MESSAGE_HELLO, 3},
	    {MESSAGE_REQUEST, 24},
	    {MESSAGE_RESPONSE, 20},
	    {MESSAGE_BODY, 4},
	    {MESSAGE_WINDOW, 2},
	    {MESSAGE_CANCEL, 2},
	    {MESSAGE_FENCE, 3},
	    {MESSAGE_FENCE_ANSWER, 2},
	    {MESSAGE_HEARTBEAT, 7},
	};
	const struct codec_schema *schema;
	int64_t type;
	size_t i;

	(void)state;
	for (type = MESSAGE_HELLO; type < MESSAGE_RAFT; type++) {
		schema = message_find_schema(type);
		for (i = 0; i < sizeof(known) / sizeof(known[0]); i++)
			if (known[i].type == type)
				break;
		if (i == sizeof(known) / sizeof(known[0])) {
			assert_null(schema);
			continue;
		}
		assert_non_null(schema);
		assert_int_equal(schema->field_count, known[i].field_count);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_round_trip),
	    cmocka_unit_test(test_peer_messages_keep_their_form),
	    cmocka_unit_test(test_numbers_out_of_range),
	    cmocka_unit_test(test_member_out_of_range),
	    cmocka_unit_test(test_truncated_and_corrupted),
	    cmocka_unit_test(test_gossip),
	    cmocka_unit_test(test_gossip_fits_datagram),
	    cmocka_unit_test(test_long_gossip_is_cut),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
