/* The promises, checked from what callers saw and what targets ran. */
#ifndef SOAK_JUDGE_H
#define SOAK_JUDGE_H

#include "soak.h"

typedef struct judge judge_t;

judge_t *judge_new(cluster_t *cluster, soak_load_t *load);
void judge_free(judge_t *judge);
/* Names the process beside which a target appends its executions. */
void judge_add_target(judge_t *judge, const char *proxy);
/*
 * From now on, until the next call, nothing but planned work is done: whatever a
 * target runs is answered.  False ends that time.
 */
void judge_set_planned(judge_t *judge, bool planned);
/* Takes in what callers and targets have told since. */
void judge_look(judge_t *judge);
/* Notes a broken promise that was seen elsewhere; takes over the text. */
void judge_add_fault(judge_t *judge, char *text);
/* Prints the broken promises that were not printed yet; returns how many there were since the start. */
int judge_print_faults(judge_t *judge);
/* Prints how the calls ended. */
void judge_print_calls(const judge_t *judge);

#endif
