/* Random contents for tests of the ledger, as structures of the model and as protobuf messages. */
#ifndef RANDOM_CONTENT_H
#define RANDOM_CONTENT_H

#include "ledger_model.h"
#include "libcaraway.h"

enum { RANDOM_ZONES = 3, RANDOM_TIERS = 2 };

/* What generated contents are likely to share with those before them. */
typedef struct {
	int service;		  /* that new routes and targets mostly belong to */
	model_content_t previous; /* whose selector is often used again */
} random_context_t;

extern const char *const random_zones[RANDOM_ZONES];
extern const char *const random_tiers[RANDOM_TIERS];

/* Makes a content without duplicate sections; it often shares the selector or service of those before it. */
void random_content(GRand *random, random_context_t *context, model_content_t *content);
/* Returns a content as a message, made by parsing the equivalent change file. */
Caraway__Content *content_message(const model_content_t *content);

#endif
