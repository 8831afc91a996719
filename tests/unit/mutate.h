/* Seeded mutations of bytes and of messages. */
#ifndef MUTATE_H
#define MUTATE_H

#include "libcaraway.h"

/* Returns a copy of bytes, not empty, that is one to four mutations away. */
GByteArray *mutate_bytes(GRand *random, const void *data, size_t length);
/* Alters one field of a message or of one within it: removes, doubles or replaces it. */
void mutate_message(GRand *random, ProtobufCMessage *message);

#endif
