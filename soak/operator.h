/* An operator who books one change after another, and a second one who reviews each. */
#ifndef SOAK_OPERATOR_H
#define SOAK_OPERATOR_H

#include "soak.h"

typedef struct operators operators_t;

/* Starts the operators; the number of each accepted change is stored in shared->newest_change. */
operators_t *operators_start(cluster_t *cluster, soak_shared_t *shared, const char *folder, uint32_t seed);
/* Pauses or resumes; while paused no change begins. */
void operators_pause(operators_t *operators, bool paused);
/* Returns whether the operators are paused and no change is being booked or reviewed. */
bool operators_idle(const operators_t *operators);
/* Returns the next error for which a command was not sent again, or NULL; the caller frees it. */
char *operators_next_error(operators_t *operators);
/* Stops the operators after the command in progress and frees them. */
void operators_stop(operators_t *operators);

#endif
