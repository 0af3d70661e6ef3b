// Table-driven msgpack codec.
#include <string.h>

#include "wire/codec.h"
#include "wire/msgpack_check.h"

/// Bounds recursion. Messages nest only structs and lists of structs.
#define MAX_DEPTH 4

static void
pack_field(
    msgpack_packer *pk, const struct codec_field *field, const char *base)
{
	const void *at = base + field->offset;
	const struct bytes *b = at;
	const struct list *l = at;
	uint32_t i;

	switch (field->kind) {
	case CODEC_U32:
		msgpack_pack_uint32(pk, *(const uint32_t *)at);
		break;
	case CODEC_U64:
	case CODEC_COUNT:
		msgpack_pack_uint64(pk, *(const uint64_t *)at);
		break;
	case CODEC_TIME:
	case CODEC_SIZE:
		msgpack_pack_int64(pk, *(const int64_t *)at);
		break;
	case CODEC_BYTES:
		msgpack_pack_bin(pk, b->size_bytes);
		if (b->size_bytes > 0)
			msgpack_pack_bin_body(pk, b->data, b->size_bytes);
		break;
	case CODEC_LIST:
		msgpack_pack_array(pk, l->count);
		for (i = 0; i < l->count; i++) {
			msgpack_pack_array(pk, field->schema->field_count);
			codec_pack(pk, field->schema,
			    (const char *)l->items +
				i * field->schema->struct_bytes);
		}
		break;
	case CODEC_STRUCT:
		msgpack_pack_array(pk, field->schema->field_count);
		codec_pack(pk, field->schema, at);
		break;
	}
}

void
codec_pack(msgpack_packer *packer, const struct codec_schema *schema,
    const void *value)
{
	uint32_t i;

	for (i = 0; i < schema->field_count; i++)
		pack_field(packer, &schema->fields[i], value);
}

int
codec_decoder_init(struct codec_decoder *decoder, const char *bytes,
    size_t size_bytes, struct error *err)
{
	size_t offset = 0;
	msgpack_unpack_return rc;

	msgpack_unpacked_init(&decoder->unpacked);
	if (!msgpack_check(bytes, size_bytes))
		return error_set(err, ERR_SYNTAX, "decode", "",
		    "message is not one whole msgpack object");
	rc =
	    msgpack_unpack_next(&decoder->unpacked, bytes, size_bytes, &offset);
	if (rc != MSGPACK_UNPACK_SUCCESS || offset != size_bytes)
		return error_set(err, ERR_SYNTAX, "decode", "",
		    "message is not one whole msgpack object");
	return 0;
}

void
codec_decoder_free(struct codec_decoder *decoder)
{
	msgpack_unpacked_destroy(&decoder->unpacked);
}

int64_t
codec_read_type(const struct codec_decoder *decoder, struct error *err)
{
	const msgpack_object *root = &decoder->unpacked.data;

	if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size == 0 ||
	    root->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    root->via.array.ptr[0].via.u64 > INT32_MAX)
		return error_set(err, ERR_SYNTAX, "decode", "",
		    "message does not start with a type");
	return (int64_t)root->via.array.ptr[0].via.u64;
}

static int read_struct(struct codec_decoder *decoder,
    const msgpack_object *objects, uint32_t count,
    const struct codec_schema *schema, char *base, int depth,
    struct error *err);

static int
read_list(struct codec_decoder *decoder, const msgpack_object *o,
    const struct codec_schema *schema, struct list *out, int depth,
    struct error *err)
{
	uint32_t i;

	out->count = o->via.array.size;
	out->items = NULL;
	if (out->count == 0)
		return 0;
	out->items = msgpack_zone_malloc(
	    decoder->unpacked.zone, out->count * schema->struct_bytes);
	if (out->items == NULL)
		return error_set(err, ERR_IO, "decode", "", "out of memory");
	memset(out->items, 0, out->count * schema->struct_bytes);
	for (i = 0; i < out->count; i++) {
		const msgpack_object *item = &o->via.array.ptr[i];

		if (item->type != MSGPACK_OBJECT_ARRAY)
			return error_set(err, ERR_SYNTAX, "decode", "",
			    "%s: list item is not a msgpack array",
			    schema->name);
		if (read_struct(decoder, item->via.array.ptr,
			item->via.array.size, schema,
			(char *)out->items + i * schema->struct_bytes,
			depth + 1, err) != 0)
			return -1;
	}
	return 0;
}

static int
read_signed(const msgpack_object *o, enum codec_kind kind, int64_t *out)
{
	int64_t value;

	if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		value = o->via.i64;
	else if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    o->via.u64 <= CODEC_MAX_COUNT)
		value = (int64_t)o->via.u64;
	else
		return -1;
	if (kind == CODEC_SIZE && value < -1)
		return -1;
	if (kind == CODEC_TIME &&
	    (value < -CODEC_MAX_TIME_US || value > CODEC_MAX_TIME_US))
		return -1;
	*out = value;
	return 0;
}

static int
read_unsigned(const msgpack_object *o, enum codec_kind kind, void *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return -1;
	if (kind == CODEC_U32) {
		if (o->via.u64 > UINT32_MAX)
			return -1;
		*(uint32_t *)out = (uint32_t)o->via.u64;
		return 0;
	}
	if (kind == CODEC_COUNT && o->via.u64 > CODEC_MAX_COUNT)
		return -1;
	*(uint64_t *)out = o->via.u64;
	return 0;
}

static int
read_bytes(const msgpack_object *o, struct bytes *out)
{
	if (o->type != MSGPACK_OBJECT_BIN)
		return -1;
	out->data = o->via.bin.ptr;
	out->size_bytes = o->via.bin.size;
	return 0;
}

static int
read_field(struct codec_decoder *decoder, const msgpack_object *o,
    const struct codec_field *field, char *base, int depth, struct error *err)
{
	void *at = base + field->offset;

	switch (field->kind) {
	case CODEC_U32:
	case CODEC_U64:
	case CODEC_COUNT:
		return read_unsigned(o, field->kind, at);
	case CODEC_TIME:
	case CODEC_SIZE:
		return read_signed(o, field->kind, at);
	case CODEC_BYTES:
		return read_bytes(o, at);
	case CODEC_LIST:
		if (o->type != MSGPACK_OBJECT_ARRAY)
			return -1;
		return read_list(decoder, o, field->schema, at, depth, err);
	case CODEC_STRUCT:
		if (o->type != MSGPACK_OBJECT_ARRAY)
			return -1;
		return read_struct(decoder, o->via.array.ptr, o->via.array.size,
		    field->schema, at, depth + 1, err);
	}
	return -1;
}

static int
read_struct(struct codec_decoder *decoder, const msgpack_object *objects,
    uint32_t count, const struct codec_schema *schema, char *base, int depth,
    struct error *err)
{
	uint32_t i;

	if (depth > MAX_DEPTH || count != schema->field_count)
		return error_set(err, ERR_SYNTAX, "decode", "",
		    "%s: array has %u fields, expected %u", schema->name, count,
		    schema->field_count);
	for (i = 0; i < count; i++) {
		err->code = ERR_NONE;
		if (read_field(decoder, &objects[i], &schema->fields[i], base,
			depth, err) == 0)
			continue;
		if (err->code == ERR_NONE)
			error_set(err, ERR_SYNTAX, "decode", "",
			    "%s: %s has a wrong type or value", schema->name,
			    schema->fields[i].name);
		return -1;
	}
	return 0;
}

int
codec_read_fields(struct codec_decoder *decoder,
    const struct codec_schema *schema, void *value, struct error *err)
{
	const msgpack_object *root = &decoder->unpacked.data;

	memset(value, 0, schema->struct_bytes);
	return read_struct(decoder, root->via.array.ptr + 1,
	    root->via.array.size - 1, schema, value, 0, err);
}

struct bytes
bytes_from_string(const char *text)
{
	struct bytes b = {text, (uint32_t)strlen(text)};

	return b;
}

int
bytes_copy(struct bytes b, char *out, size_t out_bytes)
{
	if (b.size_bytes >= out_bytes ||
	    (b.size_bytes > 0 && memchr(b.data, '\0', b.size_bytes) != NULL))
		return -1;
	if (b.size_bytes > 0)
		memcpy(out, b.data, b.size_bytes);
	out[b.size_bytes] = '\0';
	return 0;
}
