/* Parsing and formatting of due times. */
#ifndef DUE_H
#define DUE_H

#include "libcaraway.h"

/*
 * Parses "now" (0: due at once), an ISO 8601 time (UTC by default), or an
 * offset "+N" in s, m, h or d, added to now_ms rounded up to a whole second.
 * now_ms and *due_ms are UTC.  CW_ERR_USAGE when the text is none of these.
 */
cw_status_t due_parse(const char *text, int64_t now_ms, int64_t *due_ms);
/* Formats a UTC time as ISO 8601, or as "at once" for 0; the caller frees the result. */
char *due_format(int64_t due_ms);

#endif
