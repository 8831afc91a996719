/* Due times on the command line. */
#ifndef DUE_H
#define DUE_H

#include "libcaraway.h"

/*
 * Reads "now" (0: due at once), an ISO 8601 UTC time, or "+N" with s, m, h or
 * d after now_ms, rounded up to a whole second.  *due_ms is UTC, milliseconds since the epoch.  CW_ERR_USAGE.
 */
cw_status_t due_parse(const char *text, int64_t now_ms, int64_t *due_ms);
/* Returns a UTC time as ISO 8601, or "at once" for 0; the caller frees it. */
char *due_text(int64_t due_ms);

#endif
