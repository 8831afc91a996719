/* Internal header of libcaraway, not installed. */
#ifndef LIBCARAWAY_INTERNAL_H
#define LIBCARAWAY_INTERNAL_H

#include "libcaraway.h"

/* Returns whether two messages of one kind, which may be NULL, have equal fields. */
bool cw_message_equal(const ProtobufCMessage *left, const ProtobufCMessage *right);
/* Packs a message and compresses it with zstd. */
GBytes *cw_message_compress(const ProtobufCMessage *message);
/* Decompresses and unpacks a message; on failure sets the last error message and returns NULL. */
void *cw_message_decompress(const ProtobufCMessageDescriptor *descriptor, const ProtobufCBinaryData *bytes);

#endif
