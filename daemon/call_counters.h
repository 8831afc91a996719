/* Counts refused, failed and retried calls by reason. */
#ifndef CALL_COUNTERS_H
#define CALL_COUNTERS_H

#include "counters.h"
#include "libcaraway.h"

/* Counts a call that the receiver refused or that failed there. */
void call_count_refused(cw_reason_t reason);
/* Counts a call whose caller was given the outcome "not run" or "unknown". */
void call_count_outcome(cw_reason_t reason);
/* Counts a retry of a call whose last attempt ended for the reason. */
void call_count_retry(cw_reason_t reason);

#endif
