// A writer of odd messages: each field of a type of message in turn gets each of
// the values that another program might put there.
//
//   odd-writer IP:PORT udp|tcp TYPE [FIELD=VALUE ...]
//   odd-writer IP:PORT udp|tcp TYPE plain [FIELD=VALUE ...]
//
// The second form sends one message, without odd values.
//
// FIELD=VALUE sets all fields of that name, at any depth, in the messages; the
// others are 0 or empty. The value @NAME stands for the id of a cluster. A list has
// one item, or none with FIELD=none. Prints how many messages it sent.
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/net/address.h"
#include "io/replica/replica_host.h"
#include "wire/messages.h"

#define WAIT_US	   2000
#define LONG_BYTES 1000000

/// Depth of the arrays that stand in place of a value.
#define NESTING 64

/// Items of a list that is too long.
#define MANY 2000

static const uint64_t unsigned_ends[] = {0, 1, UINT16_MAX, UINT16_MAX + 1ULL,
    INT32_MAX, INT32_MAX + 1ULL, UINT32_MAX, UINT32_MAX + 1ULL, 1ULL << 52,
    (1ULL << 52) + 1, 1ULL << 53, INT64_MAX - 1, INT64_MAX, 1ULL << 63,
    UINT64_MAX};
static const int64_t signed_ends[] = {
    -1, -2, INT16_MIN, INT32_MIN, INT32_MIN - 1LL, INT64_MIN + 1, INT64_MIN};
static const char *const texts[] = {"", "a", "\xff\xfe", "\xc3", "\xed\xa0\x80",
    "a\nb", "\x1b[2J", "..", "../../x", "%s%n", "127.0.0.1", "127.0.0.1:0",
    "127.0.0.1:65536", "256.1.1.1", "-1"};

#define COUNT(array_) ((int)(sizeof(array_) / sizeof((array_)[0])))

/// Kinds of values after those of the arrays above.
enum odd_kind {
	ODD_NUL,
	ODD_LONG,
	ODD_NIL,
	ODD_TRUE,
	ODD_FLOAT,
	ODD_STR,
	ODD_NESTED,
	ODD_MANY,
	ODD_MAP,
	ODD_KINDS
};

#define ODD_COUNT \
	(COUNT(unsigned_ends) + COUNT(signed_ends) + COUNT(texts) + ODD_KINDS)

struct writer {
	struct address to;
	bool datagram;
	int type;
	char **given; ///< "FIELD=VALUE"
	int given_count;
	// Of the message being packed.
	msgpack_sbuffer out;
	msgpack_packer packer;
	int field;     ///< Fields packed so far.
	int odd_field; ///< Number of the one that gets the odd value.
	int odd;       ///< Number of the value.
	int sent;
};

static void
pack_bytes(msgpack_packer *pk, const char *data, size_t size_bytes)
{
	msgpack_pack_bin(pk, size_bytes);
	msgpack_pack_bin_body(pk, data, size_bytes);
}

static void
pack_odd_kind(msgpack_packer *pk, enum odd_kind kind)
{
	static char zeros[LONG_BYTES];
	int i;

	switch (kind) {
	case ODD_NUL:
		pack_bytes(pk, "a\0b", 3);
		break;
	case ODD_LONG:
		pack_bytes(pk, zeros, sizeof(zeros));
		break;
	case ODD_NIL:
		msgpack_pack_nil(pk);
		break;
	case ODD_TRUE:
		msgpack_pack_true(pk);
		break;
	case ODD_FLOAT:
		msgpack_pack_double(pk, 1e308);
		break;
	case ODD_STR:
		msgpack_pack_str(pk, 1);
		msgpack_pack_str_body(pk, "1", 1);
		break;
	case ODD_NESTED:
		for (i = 0; i < NESTING; i++)
			msgpack_pack_array(pk, 1);
		msgpack_pack_nil(pk);
		break;
	case ODD_MANY:
		msgpack_pack_array(pk, MANY);
		for (i = 0; i < MANY; i++)
			msgpack_pack_array(pk, 0);
		break;
	case ODD_MAP:
		msgpack_pack_map(pk, 2);
		for (i = 0; i < 2; i++) {
			msgpack_pack_uint32(pk, 1);
			msgpack_pack_uint32(pk, 1);
		}
		break;
	case ODD_KINDS:
		break;
	}
}

static void
pack_odd(msgpack_packer *pk, int odd)
{
	if (odd < COUNT(unsigned_ends)) {
		msgpack_pack_uint64(pk, unsigned_ends[odd]);
		return;
	}
	odd -= COUNT(unsigned_ends);
	if (odd < COUNT(signed_ends)) {
		msgpack_pack_int64(pk, signed_ends[odd]);
		return;
	}
	odd -= COUNT(signed_ends);
	if (odd < COUNT(texts))
		pack_bytes(pk, texts[odd], strlen(texts[odd]));
	else
		pack_odd_kind(pk, (enum odd_kind)(odd - COUNT(texts)));
}

static const char *
find_given(const struct writer *w, const char *field)
{
	size_t field_bytes = strlen(field);
	int i;

	for (i = 0; i < w->given_count; i++)
		if (strncmp(w->given[i], field, field_bytes) == 0 &&
		    w->given[i][field_bytes] == '=')
			return w->given[i] + field_bytes + 1;
	return NULL;
}

static void pack_fields(struct writer *w, const struct codec_schema *schema);

static void
pack_field(struct writer *w, const struct codec_field *field)
{
	const char *given = find_given(w, field->name);

	if (w->field++ == w->odd_field) {
		pack_odd(&w->packer, w->odd);
		return;
	}
	switch (field->kind) {
	case CODEC_BYTES:
		pack_bytes(&w->packer, given == NULL ? "" : given,
		    given == NULL ? 0 : strlen(given));
		break;
	case CODEC_LIST:
		if (given != NULL) {
			msgpack_pack_array(&w->packer, 0);
			break;
		}
		msgpack_pack_array(&w->packer, 1);
		msgpack_pack_array(&w->packer, field->schema->field_count);
		pack_fields(w, field->schema);
		break;
	case CODEC_STRUCT:
		msgpack_pack_array(&w->packer, field->schema->field_count);
		pack_fields(w, field->schema);
		break;
	default:
		msgpack_pack_uint64(&w->packer,
		    given == NULL	  ? 0
			: given[0] == '@' ? replica_hash_cluster_name(given + 1)
					  : strtoull(given, NULL, 10));
	}
}

static void
pack_fields(struct writer *w, const struct codec_schema *schema)
{
	uint32_t i;

	for (i = 0; i < schema->field_count; i++)
		pack_field(w, &schema->fields[i]);
}

static void
send_datagram(const struct writer *w, const msgpack_sbuffer *out)
{
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	// One that is too large for a datagram is not sent.
	if (sendto(fd, out->data, out->size, 0,
		(const struct sockaddr *)&w->to.in, sizeof(w->to.in)) < 0 &&
	    errno != EMSGSIZE)
		perror("sendto");
	close(fd);
}

/// Sends a frame on a connection of its own, and waits for an answer, the end, or
/// some time.
static void
send_frame(const struct writer *w, const msgpack_sbuffer *out)
{
	const struct timeval wait = {.tv_usec = WAIT_US};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char answer[4096];
	size_t at = 0;
	ssize_t n = 1;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	if (connect(fd, (const struct sockaddr *)&w->to.in, sizeof(w->to.in)) !=
	    0)
		perror("connect");
	else {
		while (at < out->size && n > 0) {
			n = send(
			    fd, out->data + at, out->size - at, MSG_NOSIGNAL);
			at += n > 0 ? (size_t)n : 0;
		}
		(void)!read(fd, answer, sizeof(answer));
	}
	close(fd);
}

static void
send_message(struct writer *w)
{
	const struct codec_schema *schema = message_find_schema(w->type);
	uint32_t head;

	msgpack_sbuffer_init(&w->out);
	if (!w->datagram)
		msgpack_sbuffer_write(&w->out, "0000", FRAME_HEADER_BYTES);
	msgpack_packer_init(&w->packer, &w->out, msgpack_sbuffer_write);
	msgpack_pack_array(&w->packer, schema->field_count + 1);
	msgpack_pack_uint32(&w->packer, (uint32_t)w->type);
	w->field = 0;
	pack_fields(w, schema);
	if (w->datagram)
		send_datagram(w, &w->out);
	else {
		head = htonl((uint32_t)(w->out.size - FRAME_HEADER_BYTES));
		memcpy(w->out.data, &head, sizeof(head));
		send_frame(w, &w->out);
	}
	w->sent++;
	msgpack_sbuffer_destroy(&w->out);
}

int
main(int argc, char **argv)
{
	struct writer w = {.given = argv + 4, .given_count = argc - 4};
	int field_count;

	if (argc < 4 || address_parse(argv[1], &w.to) != 0 ||
	    message_find_schema(w.type = atoi(argv[3])) == NULL) {
		fprintf(stderr,
		    "usage: %s IP:PORT udp|tcp TYPE [plain] [FIELD=VALUE "
		    "...]\n",
		    argv[0]);
		return 2;
	}
	w.datagram = strcmp(argv[2], "udp") == 0;
	w.odd_field = -1;
	send_message(&w);
	field_count = argc > 4 && strcmp(argv[4], "plain") == 0 ? 0 : w.field;
	for (w.odd_field = 0; w.odd_field < field_count; w.odd_field++)
		for (w.odd = 0; w.odd < ODD_COUNT; w.odd++)
			send_message(&w);
	printf("%d messages of type %d\n", w.sent, w.type);
	return 0;
}
