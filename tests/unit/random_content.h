/* Random contents for tests of the ledger, as structures of the model and as protobuf messages. */
#ifndef RANDOM_CONTENT_H
#define RANDOM_CONTENT_H

#include "ledger_model.h"
#include "libcaraway.h"

enum { RANDOM_ZONE_COUNT = 3, RANDOM_TIER_COUNT = 2 };

/* The service and selector that the next content is likely to share with those generated before. */
typedef struct {
	int service;		  /* new routes and targets mostly belong to it */
	model_content_t previous; /* the next content often has the same selector */
} random_context_t;

extern const char *const random_zones[RANDOM_ZONE_COUNT];
extern const char *const random_tiers[RANDOM_TIER_COUNT];

/* Makes a content without duplicate sections and updates the context with it. */
void random_content(GRand *random, random_context_t *context, model_content_t *content);
/* Returns a content as a message, owned by the caller and made by parsing the equivalent change file. */
Caraway__Content *content_message(const model_content_t *content);

#endif
