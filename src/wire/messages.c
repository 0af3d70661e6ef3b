// Packs, unpacks and frames messages.
#include <arpa/inet.h>
#include <string.h>

#include <xxhash.h>

#include "wire/messages.h"

uint64_t
message_addresses_hash(const struct list *addresses)
{
	const struct message_address *items = addresses->items;
	uint64_t hash = addresses->count;
	uint32_t i;

	for (i = 0; i < addresses->count; i++)
		hash = XXH3_64bits_withSeed(
		    items[i].text.data, items[i].text.size_bytes, hash);
	return hash;
}

bool
message_is_compressible(enum message_type type)
{
	switch (type) {
	case MESSAGE_SYNC:
	case MESSAGE_SYNC_ANSWER:
	case MESSAGE_RULES:
	case MESSAGE_DELTA:
	case MESSAGE_RAFT:
	case MESSAGE_OPERATOR:
	case MESSAGE_OPERATOR_ANSWER:
		return true;
	default:
		return false;
	}
}

void
message_pack(msgpack_sbuffer *out, enum message_type type, const void *value)
{
	const struct codec_schema *schema = message_find_schema(type);
	msgpack_packer packer;

	msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, schema->field_count + 1);
	msgpack_pack_uint32(&packer, (uint32_t)type);
	codec_pack(&packer, schema, value);
}

void
message_pack_frame(
    msgpack_sbuffer *out, enum message_type type, const void *value)
{
	static const char placeholder[FRAME_HEADER_BYTES];
	size_t start = out->size;
	uint32_t size_bytes;

	msgpack_sbuffer_write(out, placeholder, sizeof(placeholder));
	message_pack(out, type, value);
	size_bytes = htonl((uint32_t)(out->size - start - FRAME_HEADER_BYTES));
	memcpy(out->data + start, &size_bytes, sizeof(size_bytes));
}

int
message_unpack(struct message *message, const char *bytes, size_t size_bytes,
    struct error *err)
{
	const struct codec_schema *schema;
	int64_t type;

	if (codec_decoder_init(&message->decoder, bytes, size_bytes, err) != 0)
		goto fail;
	type = codec_read_type(&message->decoder, err);
	if (type < 0)
		goto fail;
	schema = message_find_schema(type);
	if (schema == NULL) {
		error_set(err, ERR_SYNTAX, "decode", "",
		    "message has the unknown type %lld", (long long)type);
		goto fail;
	}
	message->type = (enum message_type)type;
	if (codec_read_fields(&message->decoder, schema, &message->u, err) != 0)
		goto fail;
	return 0;
fail:
	codec_decoder_free(&message->decoder);
	return -1;
}

void
message_free(struct message *message)
{
	codec_decoder_free(&message->decoder);
}
