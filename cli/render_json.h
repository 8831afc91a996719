/* Messages as JSON, for programs that read carawayctl's output. */
#ifndef RENDER_JSON_H
#define RENDER_JSON_H

#include "libcaraway.h"

/* Appends a message as indented JSON and a line end. */
void render_json(const ProtobufCMessage *message, GString *out);

#endif
