/* Parsing and formatting of due times. */
#include "due.h"

#include <string.h>

enum { MS_PER_S = 1000, S_PER_MINUTE = 60, S_PER_HOUR = 3600, S_PER_DAY = 86400, MAX_DAYS = 3660 };

/* Returns the length of a unit in seconds, or 0 for an unknown unit. */
static int64_t unit_seconds(const char *unit)
{
	if (strcmp(unit, "s") == 0)
		return 1;
	if (strcmp(unit, "m") == 0)
		return S_PER_MINUTE;
	if (strcmp(unit, "h") == 0)
		return S_PER_HOUR;
	if (strcmp(unit, "d") == 0)
		return S_PER_DAY;
	return 0;
}

/* Parses an offset without its "+".  Rounds up to a whole second, as due_format() prints no fraction. */
static cw_status_t parse_relative(const char *text, int64_t now_ms, int64_t *due_ms)
{
	char *unit = NULL;
	guint64 count = g_ascii_strtoull(text, &unit, 10);
	int64_t seconds = unit_seconds(unit);

	if (!g_ascii_isdigit(*text) || !seconds || count > (guint64)(MAX_DAYS * (int64_t)S_PER_DAY / seconds))
		return cw_fail(CW_ERR_USAGE, "--due +%s: give a number and s, m, h or d, at most %d days",
			       text, MAX_DAYS);
	*due_ms = ((now_ms + MS_PER_S - 1) / MS_PER_S + (int64_t)count * seconds) * MS_PER_S;
	return CW_OK;
}

/* Parses a due time given by an operator. */
cw_status_t due_parse(const char *text, int64_t now_ms, int64_t *due_ms)
{
	g_autoptr(GTimeZone) utc = g_time_zone_new_utc();
	g_autoptr(GDateTime) time = NULL;

	if (strcmp(text, "now") == 0) {
		*due_ms = 0;
		return CW_OK;
	}
	if (*text == '+')
		return parse_relative(text + 1, now_ms, due_ms);
	time = g_date_time_new_from_iso8601(text, utc);
	if (!time)
		return cw_fail(CW_ERR_USAGE,
			       "--due %s: give now, a UTC time as 2026-12-24T06:00:00Z, or +30s, +2h, +14d",
			       text);
	*due_ms = g_date_time_to_unix(time) * MS_PER_S + g_date_time_get_microsecond(time) / MS_PER_S;
	return CW_OK;
}

/* Formats a due time for display. */
char *due_format(int64_t due_ms)
{
	g_autoptr(GDateTime) time = g_date_time_new_from_unix_utc(due_ms / MS_PER_S);

	if (due_ms == 0)
		return g_strdup("at once");
	return time ? g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ") : g_strdup("out of range");
}
