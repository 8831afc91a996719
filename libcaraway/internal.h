/* Shared by the files of libcaraway, not installed. */
#ifndef LIBCARAWAY_INTERNAL_H
#define LIBCARAWAY_INTERNAL_H

#include "libcaraway.h"

/* Packs a message and compresses it (zstd). */
GBytes *cw_message_compress(const ProtobufCMessage *message);
/* Undoes that; NULL, with the message of the failure set, when the bytes do not hold such a message. */
void *cw_message_decompress(const ProtobufCMessageDescriptor *descriptor, const ProtobufCBinaryData *bytes);

#endif
