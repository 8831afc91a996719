/* Packing, copying and freeing of protobuf messages, and hashing of data. */
#include "internal.h"

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
