/* Structured logging: one JSON object per line on standard output, through GLib. */
#include "log.h"

#include <jansson.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"

/* Name of the opaque GLib log field whose value is the typed fields, as a json_t object. */
#define FIELDS_KEY "CARAWAY_FIELDS"

enum {
	MAX_LINES_PER_S = 50,  /* average rate, so that high load does not flood the log */
	MAX_BURST_LINES = 500, /* after a quiet period: a start, or a fault that affects many calls */
	MS_PER_S = 1000
};

static _Atomic uint64_t dropped_lines; /* reported as "lines-dropped" in the next line written */

static char *program_name;
static GLogLevelFlags max_level = G_LOG_LEVEL_INFO;

/*
 * Maps the name of a level in settings and log lines to GLib, where lower flags
 * are more severe.  "error" is not G_LOG_LEVEL_ERROR, at which GLib aborts.
 */
typedef struct {
	const char *name;
	GLogLevelFlags flag;
} level_name_t;

static const level_name_t level_names[] = {
	{"error", G_LOG_LEVEL_CRITICAL},
	{"warning", G_LOG_LEVEL_WARNING},
	{"info", G_LOG_LEVEL_INFO},
	{"debug", G_LOG_LEVEL_DEBUG},
};

/* Returns the name of a level; a level without a name gets that of the next more severe one. */
static const char *level_name(GLogLevelFlags level)
{
	const char *name = level_names[0].name;

	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++)
		if ((level & G_LOG_LEVEL_MASK) >= level_names[i].flag)
			name = level_names[i].name;
	return name;
}

/* Returns the current UTC time in ISO 8601 format with milliseconds; the caller frees it. */
static char *format_utc_time(void)
{
	g_autoptr(GDateTime) now = g_date_time_new_now_utc();
	g_autofree char *seconds = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S");

	return g_strdup_printf("%s.%03dZ", seconds, g_date_time_get_microsecond(now) / 1000);
}

/* Adds one GLib log field to a line; other fields that GLib sets are skipped. */
static void add_field(json_t *line, const GLogField *field)
{
	if (strcmp(field->key, FIELDS_KEY) == 0)
		json_object_update(line, (json_t *)field->value);
	else if (strcmp(field->key, "MESSAGE") == 0 && field->length < 0)
		json_object_set_new(line, "event", json_string(field->value));
	else if (strcmp(field->key, "GLIB_DOMAIN") == 0 && field->length < 0)
		json_object_set_new(line, "domain", json_string(field->value));
}

/* Writes a line to standard output; a line that cannot be written is dropped. */
static void write_line(const char *text, size_t length)
{
	struct pollfd output = {.fd = STDOUT_FILENO, .events = POLLOUT};
	size_t done = 0;

	/* Drop the line instead of blocking the daemon when nothing reads its standard output. */
	if (poll(&output, 1, 0) != 1 || !(output.revents & POLLOUT)) {
		atomic_fetch_add(&dropped_lines, 1);
		return;
	}
	while (done < length) {
		ssize_t count = write(STDOUT_FILENO, text + done, length - done);
		if (count <= 0)
			return;
		done += (size_t)count;
	}
}

/* Limits the rate of lines with a token bucket; returns whether a line may be written. */
static bool rate_limit_allows(void)
{
	static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	static int64_t refilled_ms;
	static double tokens = MAX_BURST_LINES;
	int64_t now_ms = clock_now_ms();
	bool allowed;

	pthread_mutex_lock(&lock);
	tokens = MIN(MAX_BURST_LINES, tokens + (double)(now_ms - refilled_ms) * MAX_LINES_PER_S / MS_PER_S);
	refilled_ms = now_ms;
	allowed = tokens >= 1;
	if (allowed)
		tokens--;
	pthread_mutex_unlock(&lock);
	return allowed;
}

/* Log writer for GLib: writes an entry as one line of JSON. */
static GLogWriterOutput write_entry(GLogLevelFlags level, const GLogField *fields, gsize field_count,
				    gpointer data)
{
	(void)data;
	if ((level & G_LOG_LEVEL_MASK) > max_level)
		return G_LOG_WRITER_HANDLED;
	if (!rate_limit_allows()) {
		atomic_fetch_add(&dropped_lines, 1);
		return G_LOG_WRITER_HANDLED;
	}

	g_autofree char *time = format_utc_time();
	json_t *line = json_object();

	json_object_set_new(line, "time", json_string(time));
	json_object_set_new(line, "level", json_string(level_name(level)));
	json_object_set_new(line, "program", json_string(program_name));
	if (atomic_load(&dropped_lines))
		json_object_set_new(line, "lines-dropped",
				    json_integer((json_int_t)atomic_exchange(&dropped_lines, 0)));
	for (gsize i = 0; i < field_count; i++)
		add_field(line, &fields[i]);

	char *text = json_dumps(line, JSON_COMPACT);
	if (text) {
		g_autofree char *terminated = g_strconcat(text, "\n", NULL);
		write_line(terminated, strlen(terminated));
	}
	free(text);
	json_decref(line);
	return G_LOG_WRITER_HANDLED;
}

/* Returns the flag of a named level, or 0 for an unknown name. */
static GLogLevelFlags parse_level(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++)
		if (strcmp(level_names[i].name, name) == 0)
			return level_names[i].flag;
	return 0;
}

/*
 * Installs the log writer and sets the least severe level that is written.  Call
 * once, before other threads start.  Returns CW_ERR_SETTINGS for an unknown level.
 */
cw_status_t log_init(const char *program, const char *level)
{
	GLogLevelFlags flag = parse_level(level);

	if (!flag)
		return cw_fail(CW_ERR_SETTINGS, "unknown log level \"%s\": use error, warning, info or debug",
			       level);
	g_free(program_name);
	program_name = g_strdup(program);
	max_level = flag;
	g_log_set_writer_func(write_entry, NULL, NULL);
	return CW_OK;
}

/* Collects the typed fields of a log call into a JSON object. */
static json_t *collect_fields(va_list list)
{
	json_t *fields = json_object();

	for (;;) {
		log_field_t kind = (log_field_t)va_arg(list, int);
		if (kind == LOG_FIELD_END)
			return fields;
		const char *name = va_arg(list, const char *);
		switch (kind) {
		case LOG_FIELD_STR: {
			const char *value = va_arg(list, const char *);
			json_object_set_new(fields, name, value ? json_string(value) : json_null());
			break;
		}
		case LOG_FIELD_INT:
			json_object_set_new(fields, name, json_integer(va_arg(list, int64_t)));
			break;
		case LOG_FIELD_UINT:
			json_object_set_new(fields, name, json_integer((json_int_t)va_arg(list, uint64_t)));
			break;
		case LOG_FIELD_END:
			break;
		}
	}
}

/* Passes an event and its fields to GLib if its level is enabled. */
static void log_event(GLogLevelFlags level, const char *event, va_list list)
{
	if (level > max_level)
		return;

	json_t *values = collect_fields(list);
	const GLogField fields[] = {{"MESSAGE", event, -1}, {FIELDS_KEY, values, 0}};

	g_log_structured_array(level, fields, G_N_ELEMENTS(fields));
	json_decref(values);
}

/* Logs an event that helps developers with debugging. */
void log_debug(const char *event, ...)
{
	va_list list;

	va_start(list, event);
	log_event(G_LOG_LEVEL_DEBUG, event, list);
	va_end(list);
}

/* Logs an event of normal operation. */
void log_info(const char *event, ...)
{
	va_list list;

	va_start(list, event);
	log_event(G_LOG_LEVEL_INFO, event, list);
	va_end(list);
}

/* Logs an event that an operator should investigate. */
void log_warning(const char *event, ...)
{
	va_list list;

	va_start(list, event);
	log_event(G_LOG_LEVEL_WARNING, event, list);
	va_end(list);
}

/* Logs a failure that stops the process or a part of it. */
void log_error(const char *event, ...)
{
	va_list list;

	va_start(list, event);
	log_event(G_LOG_LEVEL_CRITICAL, event, list);
	va_end(list);
}
