/* Counters of calls by reason. */
#ifndef CALL_COUNTERS_H
#define CALL_COUNTERS_H

#include "counters.h"
#include "libcaraway.h"

/* Counts a call refused or failed at the receiver. */
void call_count_refused(cw_reason_t reason);
/* Counts an answer made for a caller, not run or unknown. */
void call_count_outcome(cw_reason_t reason);
/* Counts a further attempt after one that ended for the reason. */
void call_count_retry(cw_reason_t reason);

#endif
