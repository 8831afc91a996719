/* Names of status codes, and the last error message of each thread. */
#include "internal.h"

#include <stdarg.h>
#include <stdio.h>

enum { LAST_MESSAGE_BYTES = 512 /* a longer error message is truncated */ };

static _Thread_local char last_message[LAST_MESSAGE_BYTES];

static const char *const names[CW_STATUS_COUNT] = {
	[CW_OK] = "ok",
	[CW_ERR_USAGE] = "usage",
	[CW_ERR_SETTINGS] = "settings",
	[CW_ERR_CHANGE_FILE] = "change-file",
	[CW_ERR_SELECTOR] = "selector",
	[CW_ERR_NOT_FOUND] = "not-found",
	[CW_ERR_CONFLICT] = "conflict",
	[CW_ERR_STATE] = "state",
	[CW_ERR_SAME_OPERATOR] = "same-operator",
	[CW_ERR_CHECK] = "check",
	[CW_ERR_NOT_LEADER] = "not-leader",
	[CW_ERR_NO_QUORUM] = "no-quorum",
	[CW_ERR_UNKNOWN_OUTCOME] = "unknown-outcome",
	[CW_ERR_TIMEOUT] = "timeout",
	[CW_ERR_IO] = "io",
	[CW_ERR_DISK_FULL] = "disk-full",
	[CW_ERR_DAMAGED] = "damaged",
	[CW_ERR_DECODE] = "decode",
	[CW_ERR_POSITION] = "position",
	[CW_ERR_STALE] = "stale",
	[CW_ERR_DENIED] = "denied",
	[CW_ERR_FULL] = "full",
	[CW_ERR_INTERNAL] = "internal",
};

/* Returns the name of a status, as printed and logged; "unassigned" for a value out of range. */
const char *cw_status_name(cw_status_t status)
{
	if ((unsigned)status >= CW_STATUS_COUNT)
		return "unassigned";
	return names[status];
}

/* Stores the error message of this thread and returns the given status. */
cw_status_t cw_fail(cw_status_t status, const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	vsnprintf(last_message, sizeof(last_message), format, arguments);
	va_end(arguments);
	return status;
}

/* Returns the last error message of this thread; never NULL. */
const char *cw_last_error_message(void)
{
	return last_message;
}
