/// @file
/// Table-driven msgpack codec: a schema lists the fields of a struct.
///
/// A message is a msgpack array [type, field, field, ...]. Decoded strings and
/// lists point into the frame or into the zone of the decoder, and are valid
/// until the decoder is freed.
#ifndef MV_WIRE_CODEC_H
#define MV_WIRE_CODEC_H

#include <msgpack.h>
#include <stddef.h>
#include <stdint.h>

#include "core/error.h"

/// A borrowed byte string.
struct bytes {
	const char *data;
	uint32_t size_bytes;
};

/// A borrowed array of structs; the schema of the field describes the items.
struct list {
	void *items;
	uint32_t count;
};

/// Largest time in a message, either way. It leaves room to add it to a clock.
#define CODEC_MAX_TIME_US (366LL * 24 * 3600 * 1000000)

/// Largest count: that of the versions of rule files.
#define CODEC_MAX_COUNT ((uint64_t)INT64_MAX)

enum codec_kind {
	CODEC_U32,
	CODEC_U64,    ///< Hash or id: any value.
	CODEC_COUNT,  ///< uint64_t that only increases: 0 to CODEC_MAX_COUNT.
	CODEC_TIME,   ///< int64_t in microseconds, within CODEC_MAX_TIME_US.
	CODEC_SIZE,   ///< int64_t in bytes: 0 to CODEC_MAX_COUNT, or -1.
	CODEC_BYTES,  ///< struct bytes
	CODEC_LIST,   ///< struct list
	CODEC_STRUCT, ///< nested struct
};

struct codec_schema;

struct codec_field {
	const char *name;
	enum codec_kind kind;
	size_t offset;
	const struct codec_schema *schema; ///< Of list items or nested struct.
};

struct codec_schema {
	const char *name;
	size_t struct_bytes;
	const struct codec_field *fields;
	uint32_t field_count;
};

/// Owns the memory that a decoded message points to.
struct codec_decoder {
	msgpack_unpacked unpacked;
};

/// Appends the fields of a struct, without an array header, to a buffer.
void codec_pack(msgpack_packer *packer, const struct codec_schema *schema,
    const void *value);

/// Parses one msgpack object.
///
/// @param bytes       one whole object; must outlive the decoder's results
/// @param size_bytes  its length
/// @return 0, or -1 with err set; free the decoder in both cases
int codec_decoder_init(struct codec_decoder *decoder, const char *bytes,
    size_t size_bytes, struct error *err);

void codec_decoder_free(struct codec_decoder *decoder);

/// Reads the type of a parsed message.
///
/// @return the type, or -1 with err set
int64_t codec_read_type(const struct codec_decoder *decoder, struct error *err);

/// Fills a struct from a parsed message whose type has been read.
///
/// @return 0, or -1 with err set
int codec_read_fields(struct codec_decoder *decoder,
    const struct codec_schema *schema, void *value, struct error *err);

/// Wraps a C string, without its NUL; does not copy it.
struct bytes bytes_from_string(const char *text);

/// Copies a byte string into a C string.
///
/// @return 0, or -1 if it does not fit or holds a NUL
int bytes_copy(struct bytes b, char *out, size_t out_bytes);

#define CODEC_FIELD(struct_, kind_, member_)         \
	{                                            \
		.name = #member_, .kind = (kind_),   \
		.offset = offsetof(struct_, member_) \
	}
#define CODEC_NESTED(struct_, kind_, member_, schema_)                    \
	{                                                                 \
		.name = #member_, .kind = (kind_),                        \
		.offset = offsetof(struct_, member_), .schema = (schema_) \
	}
#define CODEC_SCHEMA(struct_, fields_)                                \
	{                                                             \
		.name = #struct_, .struct_bytes = sizeof(struct_),    \
		.fields = (fields_),                                  \
		.field_count = sizeof(fields_) / sizeof((fields_)[0]) \
	}

#endif
