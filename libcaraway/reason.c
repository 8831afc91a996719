/* Words of refusals and failures of calls. */
#include "internal.h"

static const char *const words[CW_REASON_COUNT] = {
#define X(id, word, status) [CW_REASON_##id] = (word),
	CW_REASONS(X)
#undef X
};

static const unsigned statuses[CW_REASON_COUNT] = {
#define X(id, word, status) [CW_REASON_##id] = (status),
	CW_REASONS(X)
#undef X
};

/* Returns the word of a reason, as sent and counted. */
const char *cw_reason_word(cw_reason_t reason)
{
	return (unsigned)reason < CW_REASON_COUNT ? words[reason] : "unassigned";
}

/* Returns the HTTP status of an answer made for a reason. */
unsigned cw_reason_http_status(cw_reason_t reason)
{
	return (unsigned)reason < CW_REASON_COUNT ? statuses[reason] : 500;
}

/* Returns the reason of a word, or CW_REASON_COUNT when no reason has it. */
cw_reason_t cw_reason_parse(const char *word)
{
	for (int i = 0; i < CW_REASON_COUNT; i++)
		if (g_str_equal(words[i], word))
			return (cw_reason_t)i;
	return CW_REASON_COUNT;
}
