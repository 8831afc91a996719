/* Packing, copying and freeing of protobuf messages, and hashing of data. */
#include "internal.h"

#include <string.h>
#include <xxhash.h>

/* Packs a message into bytes owned by the caller. */
GBytes *cw_message_pack(const ProtobufCMessage *message)
{
	size_t length = protobuf_c_message_get_packed_size(message);
	uint8_t *data = g_malloc(length ? length : 1);

	protobuf_c_message_pack(message, data);
	return g_bytes_new_take(data, length);
}

/* Returns a deep copy of a message, to be freed with cw_message_free(). */
void *cw_message_copy(const ProtobufCMessage *message)
{
	GBytes *packed = cw_message_pack(message);
	gsize length;
	const uint8_t *data = g_bytes_get_data(packed, &length);
	ProtobufCMessage *copy = protobuf_c_message_unpack(message->descriptor, NULL, length, data);

	g_bytes_unref(packed);
	return copy;
}

/* Returns the size in bytes of a value of a type that holds no reference. */
static size_t scalar_size(ProtobufCType type)
{
	switch (type) {
	case PROTOBUF_C_TYPE_INT64:
	case PROTOBUF_C_TYPE_SINT64:
	case PROTOBUF_C_TYPE_SFIXED64:
	case PROTOBUF_C_TYPE_UINT64:
	case PROTOBUF_C_TYPE_FIXED64:
	case PROTOBUF_C_TYPE_DOUBLE:
		return sizeof(uint64_t);
	case PROTOBUF_C_TYPE_BOOL:
		return sizeof(protobuf_c_boolean);
	default:
		return sizeof(uint32_t);
	}
}

/* Returns whether two values of a field are equal. */
static bool values_equal(ProtobufCType type, const void *left, const void *right)
{
	if (type == PROTOBUF_C_TYPE_STRING)
		return !g_strcmp0(*(char *const *)left, *(char *const *)right);
	if (type == PROTOBUF_C_TYPE_MESSAGE)
		return cw_message_equal(*(ProtobufCMessage *const *)left, *(ProtobufCMessage *const *)right);
	return !memcmp(left, right, scalar_size(type));
}

/* Returns whether two repeated fields of a type are equal. */
static bool repeated_equal(ProtobufCType type, size_t count, const char *left, const char *right)
{
	size_t size = type == PROTOBUF_C_TYPE_STRING || type == PROTOBUF_C_TYPE_MESSAGE ? sizeof(void *)
											: scalar_size(type);

	for (size_t i = 0; i < count; i++)
		if (!values_equal(type, left + i * size, right + i * size))
			return false;
	return true;
}

/*
 * Returns whether two messages of the same kind have equal fields, like a comparison of
 * their packed form; fields of type bytes and groups of which one is set are not
 * supported.  Those with fields of a later schema are equal to none.
 */
bool cw_message_equal(const ProtobufCMessage *left, const ProtobufCMessage *right)
{
	if (!left || !right)
		return left == right;
	if (left->n_unknown_fields || right->n_unknown_fields)
		return false;
	for (unsigned i = 0; i < left->descriptor->n_fields; i++) {
		const ProtobufCFieldDescriptor *field = &left->descriptor->fields[i];
		const char *left_value = (const char *)left + field->offset;
		const char *right_value = (const char *)right + field->offset;

		g_assert(field->type != PROTOBUF_C_TYPE_BYTES &&
			 !(field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF));
		if (field->label != PROTOBUF_C_LABEL_REPEATED) {
			if (!values_equal(field->type, left_value, right_value))
				return false;
			continue;
		}
		size_t left_count = *(const size_t *)((const char *)left + field->quantifier_offset);
		size_t right_count = *(const size_t *)((const char *)right + field->quantifier_offset);

		if (left_count != right_count ||
		    !repeated_equal(field->type, left_count, *(const char *const *)left_value,
				    *(const char *const *)right_value))
			return false;
	}
	return true;
}

/* Returns an array for a repeated field of up to count messages; freed with the message that holds it. */
void *cw_message_array(size_t count)
{
	return calloc(count + 1, sizeof(void *));
}

/* Frees an unpacked or copied message; NULL is allowed. */
void cw_message_free(void *message)
{
	if (message)
		protobuf_c_message_free_unpacked(message, NULL);
}

/* Returns the 64-bit hash of data; the seed chains one hash to the next. */
uint64_t cw_hash(const void *data, size_t length, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, length, seed);
}
