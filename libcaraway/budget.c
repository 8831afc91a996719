/* Retry budget: a token bucket; each call adds a fraction of a token, each retry takes one. */
#include "internal.h"

enum { MAX_TOKENS = 10 /* retries possible in a burst */, PERCENT = 100 };

/* Initializes a full bucket to which each call adds percent/100 of a token; if percent is 0, an empty one. */
void cw_budget_init(cw_budget_t *budget, uint32_t percent)
{
	budget->percent = percent;
	budget->tokens = percent ? MAX_TOKENS : 0;
}

/* Adds the fraction of a token that a call earns; its retries earn nothing. */
void cw_budget_deposit(cw_budget_t *budget)
{
	budget->tokens = MIN(budget->tokens + (double)budget->percent / PERCENT, MAX_TOKENS);
}

/*
 * Takes a token for an optional retry; returns false when the bucket is half
 * full or less, which leaves those tokens to retries that have no answer yet.
 */
bool cw_budget_take_optional(cw_budget_t *budget)
{
	return budget->tokens > (double)MAX_TOKENS / 2 && cw_budget_take(budget);
}

/* Takes a token for a retry; returns false when the bucket holds no whole token. */
bool cw_budget_take(cw_budget_t *budget)
{
	if (budget->tokens < 1)
		return false;
	budget->tokens -= 1;
	return true;
}
