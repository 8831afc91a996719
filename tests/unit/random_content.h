/* Random contents for the runs of the ledger, as structures and as messages. */
#ifndef RANDOM_CONTENT_H
#define RANDOM_CONTENT_H

#include "libcaraway.h"
#include "observer.h"

enum { RANDOM_ZONES = 3, RANDOM_TIERS = 2 };

/* What the next contents are likely to be about. */
typedef struct {
	int service;
	ob_content_t last;
} random_hint_t;

extern const char *const random_zones[RANDOM_ZONES];
extern const char *const random_tiers[RANDOM_TIERS];

/* Makes a content in which no name comes twice, often about what the last ones were about. */
void random_content(GRand *random, random_hint_t *hint, ob_content_t *content);
/* Returns a content as a message, by way of a change file. */
Caraway__Content *content_message(const ob_content_t *content);

#endif
