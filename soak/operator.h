/* An operator who books one change after the other, and another who reviews each. */
#ifndef SOAK_OPERATOR_H
#define SOAK_OPERATOR_H

#include "soak.h"

typedef struct operators operators_t;

/* Starts them; each accepted change is the newest turn of the load. */
operators_t *operators_start(cluster_t *cluster, soak_load_t *load, const char *folder, uint32_t seed);
/* Lets no further change begin; operators_idle() tells when the one under way is accepted. */
void operators_pause(operators_t *operators, bool paused);
bool operators_idle(const operators_t *operators);
/* Returns what was wrong with an answer to an operator, NULL when there is no more; the caller frees it. */
char *operators_fault(operators_t *operators);
void operators_stop(operators_t *operators);

#endif
