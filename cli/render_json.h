/* Conversion of protobuf messages to JSON, for programs that read the output of carawayctl. */
#ifndef RENDER_JSON_H
#define RENDER_JSON_H

#include "libcaraway.h"

/* Appends a message as indented JSON and a newline. */
void render_json(const ProtobufCMessage *message, GString *out);

#endif
