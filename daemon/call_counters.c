/* Counters of calls by reason. */
#include "call_counters.h"

/* Both lists name the same reasons in the same order. */
G_STATIC_ASSERT(COUNTER_REFUSED_ANSWER_TOO_LARGE - COUNTER_REFUSED_NO_CONFIG ==
		CW_REASON_ANSWER_TOO_LARGE - CW_REASON_NO_CONFIG);
G_STATIC_ASSERT(COUNTER_REFUSED_NO_ANSWER - COUNTER_REFUSED_NO_CONFIG ==
		CW_REASON_NO_ANSWER - CW_REASON_NO_CONFIG);
G_STATIC_ASSERT(COUNTER_REFUSED_ANSWER_TOO_LARGE - COUNTER_REFUSED_NO_CONFIG + 2 == CW_REASON_COUNT);

/* Raises the counter of a reason in the group that starts at the counter given. */
static void count(counter_t first, cw_reason_t reason)
{
	if (reason > CW_REASON_NONE && reason < CW_REASON_COUNT)
		counter_add((counter_t)(first + (reason - CW_REASON_NO_CONFIG)), 1);
	else
		counter_add(COUNTER_MESSAGE_UNEXPECTED, 1);
}

/* Counts a call refused or failed at the receiver. */
void call_count_refused(cw_reason_t reason)
{
	count(COUNTER_REFUSED_NO_CONFIG, reason);
}

/* Counts an answer made for a caller, not run or unknown. */
void call_count_outcome(cw_reason_t reason)
{
	count(COUNTER_OUTCOME_NO_CONFIG, reason);
}

/* Counts a further attempt after one that ended for the reason. */
void call_count_retry(cw_reason_t reason)
{
	count(COUNTER_RETRY_NO_CONFIG, reason);
}
