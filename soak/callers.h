/* Callers that keep their connections open and judge each answer by its bytes. */
#ifndef SOAK_CALLERS_H
#define SOAK_CALLERS_H

#include "soak.h"

typedef struct callers callers_t;

/* Starts so many callers at each proxy; what they see goes to the records of the load. */
callers_t *callers_start(soak_load_t *load, int each, uint32_t seed);
/* Waits for the calls under way and frees the callers. */
void callers_stop(callers_t *callers);

#endif
