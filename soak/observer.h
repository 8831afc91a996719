/* Checks the invariants of the mesh from what callers saw and what targets executed. */
#ifndef SOAK_OBSERVER_H
#define SOAK_OBSERVER_H

#include "soak.h"

typedef struct soak_observer soak_observer_t;

/* Creates an observer of the calls in shared->records; targets are added with soak_observer_add_target(). */
soak_observer_t *soak_observer_new(cluster_t *cluster, soak_shared_t *shared);
/* Frees the observer, its violations included. */
void soak_observer_free(soak_observer_t *observer);
/* Adds the target of a proxy; each update then reads the journal of its executions. */
void soak_observer_add_target(soak_observer_t *observer, const char *proxy);
/*
 * Begins, or with false ends, a period of planned work only.  For calls sent
 * within it, every execution by a target must be answered.
 */
void soak_observer_set_planned(soak_observer_t *observer, bool planned);
/* Processes the calls and executions recorded since the last update. */
void soak_observer_update(soak_observer_t *observer);
/* Adds a violation detected elsewhere; takes ownership of the text. */
void soak_observer_add_violation(soak_observer_t *observer, char *text);
/* Prints the violations not printed yet; returns the number of violations since the start. */
int soak_observer_print_violations(soak_observer_t *observer);
/* Prints the number of calls by result. */
void soak_observer_print_calls(const soak_observer_t *observer);

#endif
