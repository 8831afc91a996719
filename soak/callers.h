/* Callers that keep their connections open and validate each answer byte by byte. */
#ifndef SOAK_CALLERS_H
#define SOAK_CALLERS_H

#include "soak.h"

typedef struct callers callers_t;

/* Starts per_proxy callers at each proxy; they push a record of each call to shared->records. */
callers_t *callers_start(soak_shared_t *shared, int per_proxy, uint32_t seed);
/* Waits for the calls in progress to end and frees the callers; set shared->stop first. */
void callers_stop(callers_t *callers);

#endif
