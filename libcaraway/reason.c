/* Names and HTTP statuses of the reasons why calls are refused or fail. */
#include "internal.h"

static const char *const names[CW_REASON_COUNT] = {
#define X(id, name, status) [CW_REASON_##id] = (name),
	CW_REASONS(X)
#undef X
};

static const unsigned http_statuses[CW_REASON_COUNT] = {
#define X(id, name, status) [CW_REASON_##id] = (status),
	CW_REASONS(X)
#undef X
};

/* Returns the name of a reason, as used in messages and counters. */
const char *cw_reason_name(cw_reason_t reason)
{
	return (unsigned)reason < CW_REASON_COUNT ? names[reason] : "unassigned";
}

/* Returns the HTTP status of the response that a proxy generates for a reason. */
unsigned cw_reason_http_status(cw_reason_t reason)
{
	return (unsigned)reason < CW_REASON_COUNT ? http_statuses[reason] : 500;
}

/* Returns the reason with a name, or CW_REASON_COUNT for an unknown name. */
cw_reason_t cw_reason_parse(const char *name)
{
	for (int i = 0; i < CW_REASON_COUNT; i++)
		if (g_str_equal(names[i], name))
			return (cw_reason_t)i;
	return CW_REASON_COUNT;
}
