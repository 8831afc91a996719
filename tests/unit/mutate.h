/* Random mutations of byte strings and protobuf messages for fuzz tests; a seed reproduces them. */
#ifndef MUTATE_H
#define MUTATE_H

#include "libcaraway.h"

/* Returns a copy of data, which must not be empty, with one to four mutations applied. */
GByteArray *mutate_bytes(GRand *random, const void *data, size_t length);
/*
 * Mutates at most one randomly chosen field of a message or of a nested message: removes it, duplicates it
 * or replaces its value.
 */
void mutate_message(GRand *random, ProtobufCMessage *message);

#endif
