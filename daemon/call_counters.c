/* Counts refused, failed and retried calls by reason. */
#include "call_counters.h"

/* Each group of counters is in the order of cw_reason_t, so that a reason gives the offset in the group. */
G_STATIC_ASSERT(COUNTER_REFUSED_ANSWER_TOO_LARGE - COUNTER_REFUSED_NO_CONFIG ==
		CW_REASON_ANSWER_TOO_LARGE - CW_REASON_NO_CONFIG);
G_STATIC_ASSERT(COUNTER_REFUSED_NO_ANSWER - COUNTER_REFUSED_NO_CONFIG ==
		CW_REASON_NO_ANSWER - CW_REASON_NO_CONFIG);
G_STATIC_ASSERT(COUNTER_REFUSED_ANSWER_TOO_LARGE - COUNTER_REFUSED_NO_CONFIG + 2 == CW_REASON_COUNT);

/* Increments the counter of a reason in the group that starts with first_counter. */
static void count_by_reason(counter_t first_counter, cw_reason_t reason)
{
	if (reason > CW_REASON_NONE && reason < CW_REASON_COUNT)
		counter_add((counter_t)(first_counter + (reason - CW_REASON_NO_CONFIG)), 1);
	else
		counter_add(COUNTER_MESSAGE_UNEXPECTED, 1);
}

/* Counts a call that the receiver refused or that failed there. */
void call_count_refused(cw_reason_t reason)
{
	count_by_reason(COUNTER_REFUSED_NO_CONFIG, reason);
}

/* Counts a call whose caller was given the outcome "not run" or "unknown". */
void call_count_outcome(cw_reason_t reason)
{
	count_by_reason(COUNTER_OUTCOME_NO_CONFIG, reason);
}

/* Counts a retry of a call whose last attempt ended for the reason. */
void call_count_retry(cw_reason_t reason)
{
	count_by_reason(COUNTER_RETRY_NO_CONFIG, reason);
}
