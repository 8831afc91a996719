/* Structured logging: one JSON object per line on standard output, through GLib. */
#ifndef LOG_H
#define LOG_H

#include "libcaraway.h"

/* Installs the log writer; level is the least severe one written: "error", "warning", "info" or "debug". */
cw_status_t log_init(const char *program, const char *level);

/*
 * log_debug() to log_error() log an event with typed fields.  The event is a
 * constant name; each field is a LOG_STR, LOG_INT or LOG_UINT, and LOG_END ends
 * the list:
 *
 *     log_info("listening", LOG_STR("address", address), LOG_INT("port", port), LOG_END);
 */
typedef enum { LOG_FIELD_END, LOG_FIELD_STR, LOG_FIELD_INT, LOG_FIELD_UINT } log_field_t;

#define LOG_STR(name, value)  (int)LOG_FIELD_STR, (const char *)(name), (const char *)(value)
#define LOG_INT(name, value)  (int)LOG_FIELD_INT, (const char *)(name), (int64_t)(value)
#define LOG_UINT(name, value) (int)LOG_FIELD_UINT, (const char *)(name), (uint64_t)(value)
#define LOG_END		      (int)LOG_FIELD_END

void log_debug(const char *event, ...);
void log_info(const char *event, ...);
void log_warning(const char *event, ...);
void log_error(const char *event, ...);

#endif
