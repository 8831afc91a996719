/* Parses a change file, which is INI text, into the content of a change. */
#include "catalog.h"

#include <string.h>

enum { FILE_MAX_BYTES = 1024 * 1024 };

/* The section of a file that is being read. */
typedef struct {
	const char *file; /* name for messages */
	GKeyFile *keys;
	const char *group; /* heading of the section */
} reader_t;

static const char *const change_keys[] = {"title", "selector", NULL};
static const char *const service_keys[] = {"timeout-ms", "health-path", "max-connections", "remove", NULL};
static const char *const route_keys[] = {
	"path",	    "service",	    "target", "idempotent", "host",   "timeout-ms", "target-latency-ms",
	"priority", "max-attempts", "split",  "access",	    "remove", NULL};
static const char *const limits_keys[] = {"max-header-bytes", "max-body-bytes", "header-timeout-ms",
					  "idle-timeout-ms",  "remove",		NULL};
static const char *const account_keys[] = {"key-salt", "key-digests", "priority", "calls-per-s",
					   "burst",    "remove",      NULL};
static const char *const target_keys[] = {"service", "selector", "remove", NULL};

/* Fails with a message about a key of the current section. */
static cw_status_t bad_key(const reader_t *reader, const char *key, const char *reason)
{
	return cw_fail(CW_ERR_CHANGE_FILE, "%s: [%s] %s %s", reader->file, reader->group, key, reason);
}

/* Rejects keys of the current section that are not in the list of known ones. */
static cw_status_t reject_unknown_keys(const reader_t *reader, const char *const *known)
{
	char **names = g_key_file_get_keys(reader->keys, reader->group, NULL, NULL);
	cw_status_t status = CW_OK;

	for (size_t i = 0; names && names[i] && !status; i++)
		if (!g_strv_contains(known, names[i]))
			status = bad_key(reader, names[i], "is not a known key; remove it");
	g_strfreev(names);
	return status;
}

/* Reads a string into *field, which keeps its default when an optional key is missing. */
static cw_status_t read_text(const reader_t *reader, const char *key, bool required, char **field)
{
	char *value;

	if (!g_key_file_has_key(reader->keys, reader->group, key, NULL))
		return required ? bad_key(reader, key, "is missing; add it") : CW_OK;
	value = g_key_file_get_string(reader->keys, reader->group, key, NULL);
	if (!value)
		return bad_key(reader, key, "is not UTF-8 or has a bad escape");
	*field = strdup(value);
	g_free(value);
	return CW_OK;
}

/* Reads "true" or "false"; false when the key is missing. */
static cw_status_t read_flag(const reader_t *reader, const char *key, protobuf_c_boolean *flag)
{
	char *value = g_key_file_get_string(reader->keys, reader->group, key, NULL);
	cw_status_t status = CW_OK;

	if (value && strcmp(value, "true") != 0 && strcmp(value, "false") != 0)
		status = bad_key(reader, key, "must be true or false");
	*flag = value && !strcmp(value, "true");
	g_free(value);
	return status;
}

/* Reads a whole number; 0 when the key is missing. */
static cw_status_t read_number(const reader_t *reader, const char *key, uint32_t *number)
{
	g_autofree char *value = g_key_file_get_string(reader->keys, reader->group, key, NULL);
	guint64 parsed = 0;

	if (value && !g_ascii_string_to_unsigned(value, 10, 0, UINT32_MAX, &parsed, NULL))
		return bad_key(reader, key, "must be a whole number");
	*number = (uint32_t)parsed;
	return CW_OK;
}

/* Reads one "SERVICE:WEIGHT" of a split. */
static cw_status_t read_split(const reader_t *reader, const char *text, Caraway__Route *route)
{
	const char *colon = strrchr(text, ':');
	char *end = NULL;
	double weight = colon ? g_ascii_strtod(colon + 1, &end) : 0;
	Caraway__Split *split;

	if (!colon || end == colon + 1 || *end)
		return bad_key(reader, "split", "must be SERVICE:WEIGHT, separated by commas");
	split = malloc(sizeof(*split));
	caraway__split__init(split);
	split->service = strndup(text, (size_t)(colon - text));
	split->weight = weight;
	route->splits[route->n_splits++] = split;
	return CW_OK;
}

/* Reads the services that a route's calls are split over; none when the key is missing. */
static cw_status_t read_splits(const reader_t *reader, Caraway__Route *route)
{
	g_autofree char *value = g_key_file_get_string(reader->keys, reader->group, "split", NULL);
	g_auto(GStrv) parts = value ? g_strsplit(value, ",", -1) : NULL;
	cw_status_t status = CW_OK;

	if (!parts)
		return CW_OK;
	route->splits = cw_message_array(g_strv_length(parts));
	for (size_t i = 0; parts[i] && !status; i++)
		status = read_split(reader, g_strstrip(parts[i]), route);
	return status;
}

/* Reads a number of milliseconds; 0 when the key is missing. */
static cw_status_t read_milliseconds(const reader_t *reader, const char *key, uint32_t *milliseconds)
{
	char *value = g_key_file_get_string(reader->keys, reader->group, key, NULL);
	guint64 number = 0;
	cw_status_t status = CW_OK;

	if (value && !g_ascii_string_to_unsigned(value, 10, 1, UINT32_MAX, &number, NULL))
		status = bad_key(reader, key, "must be a whole number of milliseconds, 1 or more");
	*milliseconds = (uint32_t)number;
	g_free(value);
	return status;
}

/* Reads "by-method", "always" or "never"; by-method when the key is missing. */
static cw_status_t read_idempotence(const reader_t *reader, Caraway__Idempotence *idempotence)
{
	static const char *const words[] = {"by-method", "always", "never"};
	char *value = g_key_file_get_string(reader->keys, reader->group, "idempotent", NULL);
	size_t i = 0;

	while (value && i < G_N_ELEMENTS(words) && strcmp(value, words[i]) != 0)
		i++;
	g_free(value);
	if (i == G_N_ELEMENTS(words))
		return bad_key(reader, "idempotent", "must be by-method, always or never");
	*idempotence = (Caraway__Idempotence)i;
	return CW_OK;
}

/* Reads "public" or "account"; the default applies when the key is missing. */
static cw_status_t read_access(const reader_t *reader, Caraway__Access *access)
{
	g_autofree char *value = g_key_file_get_string(reader->keys, reader->group, "access", NULL);

	if (!value)
		return CW_OK;
	*access = !strcmp(value, "public") ? CARAWAY__ACCESS__ACCESS_PUBLIC : CARAWAY__ACCESS__ACCESS_ACCOUNT;
	if (*access == CARAWAY__ACCESS__ACCESS_PUBLIC || !strcmp(value, "account"))
		return CW_OK;
	return bad_key(reader, "access", "must be public or account");
}

/* Reads a number of 0 or more; *present is false when the key is missing. */
static cw_status_t read_amount(const reader_t *reader, const char *key, protobuf_c_boolean *present,
			       double *amount)
{
	g_autofree char *value = g_key_file_get_string(reader->keys, reader->group, key, NULL);
	char *end = NULL;

	*present = value != NULL;
	*amount = value ? g_ascii_strtod(value, &end) : 0;
	if (value && (end == value || *end || !(*amount >= 0)))
		return bad_key(reader, key, "must be a number of 0 or more");
	return CW_OK;
}

/* Reads the digests of an account's keys, separated by commas, each of 32 hexadecimal digits. */
static cw_status_t read_digests(const reader_t *reader, const char *key, size_t *count, uint64_t **words)
{
	g_autofree char *value = g_key_file_get_string(reader->keys, reader->group, key, NULL);
	g_auto(GStrv) parts = value ? g_strsplit(value, ",", -1) : NULL;
	guint length = parts ? g_strv_length(parts) : 0;

	*words = calloc(2 * (size_t)length + 1, sizeof(**words));
	for (guint i = 0; i < length; i++) {
		cw_key_digest_t digest;

		if (!cw_key_digest_parse(g_strstrip(parts[i]), &digest))
			return bad_key(reader, key, "must have 32 hexadecimal digits");
		memcpy(&(*words)[*count], digest.words, sizeof(digest.words));
		*count += 2;
	}
	return CW_OK;
}

/* Reads [change]. */
static cw_status_t read_change(const reader_t *reader, Caraway__Content *content)
{
	cw_status_t status = reject_unknown_keys(reader, change_keys);

	if (!status)
		status = read_text(reader, "title", true, &content->title);
	if (!status)
		status = read_text(reader, "selector", true, &content->selector);
	return status;
}

/* Reads [service NAME]. */
static cw_status_t read_service(const reader_t *reader, Caraway__Service *service)
{
	cw_status_t status = reject_unknown_keys(reader, service_keys);

	if (!status)
		status = read_flag(reader, "remove", &service->removed);
	if (!status)
		status = read_milliseconds(reader, "timeout-ms", &service->timeout_ms);
	if (!status)
		status = read_text(reader, "health-path", false, &service->health_path);
	if (!status)
		status = read_number(reader, "max-connections", &service->max_connections);
	return status;
}

/* Reads [route NAME]; a removal needs no other key. */
static cw_status_t read_route(const reader_t *reader, Caraway__Route *route)
{
	cw_status_t status = reject_unknown_keys(reader, route_keys);

	if (!status)
		status = read_flag(reader, "remove", &route->removed);
	if (!status)
		status = read_text(reader, "path", !route->removed, &route->path);
	if (!status)
		status = read_splits(reader, route);
	if (!status)
		status = read_text(reader, "service", !route->removed && !route->n_splits, &route->service);
	if (!status)
		status = read_text(reader, "target", false, &route->target);
	if (!status)
		status = read_idempotence(reader, &route->idempotence);
	if (!status)
		status = read_text(reader, "host", false, &route->host);
	if (!status)
		status = read_milliseconds(reader, "timeout-ms", &route->timeout_ms);
	if (!status)
		status = read_milliseconds(reader, "target-latency-ms", &route->target_latency_ms);
	if (!status)
		status = read_number(reader, "priority", &route->priority);
	if (!status)
		status = read_number(reader, "max-attempts", &route->max_attempts);
	return status ? status : read_access(reader, &route->access);
}

/* Reads [account NAME]; a removal needs no other key. */
static cw_status_t read_account(const reader_t *reader, Caraway__ClientAccount *account)
{
	cw_status_t status = reject_unknown_keys(reader, account_keys);

	if (!status)
		status = read_flag(reader, "remove", &account->removed);
	if (!status)
		status = read_digests(reader, "key-salt", &account->n_key_salt, &account->key_salt);
	if (!status)
		status = read_digests(reader, "key-digests", &account->n_key_digests, &account->key_digests);
	if (!status)
		status = read_amount(reader, "calls-per-s", &account->has_rate, &account->calls_per_s);
	if (!status)
		status = read_amount(reader, "burst", &account->has_burst, &account->burst);
	account->has_priority = g_key_file_has_key(reader->keys, reader->group, "priority", NULL);
	return status ? status : read_number(reader, "priority", &account->priority);
}

/* Reads [limits NAME]; a removal needs no other key. */
static cw_status_t read_limits(const reader_t *reader, Caraway__CallerLimits *limits)
{
	cw_status_t status = reject_unknown_keys(reader, limits_keys);
	uint32_t max_body_bytes = 0;

	if (!status)
		status = read_flag(reader, "remove", &limits->removed);
	if (!status)
		status = read_number(reader, "max-header-bytes", &limits->max_header_bytes);
	if (!status)
		status = read_number(reader, "max-body-bytes", &max_body_bytes);
	if (!status)
		status = read_milliseconds(reader, "header-timeout-ms", &limits->header_timeout_ms);
	if (!status)
		status = read_milliseconds(reader, "idle-timeout-ms", &limits->idle_timeout_ms);
	limits->max_body_bytes = max_body_bytes;
	return status;
}

/* Reads [target NAME]; a removal needs no other key. */
static cw_status_t read_target(const reader_t *reader, Caraway__Target *target)
{
	cw_status_t status = reject_unknown_keys(reader, target_keys);

	if (!status)
		status = read_flag(reader, "remove", &target->removed);
	if (!status)
		status = read_text(reader, "service", !target->removed, &target->service);
	if (!status)
		status = read_text(reader, "selector", false, &target->selector);
	return status;
}

/* Appends a section of a name to the content and reads its keys. */
static cw_status_t read_section(const reader_t *reader, section_kind_t kind, const char *name,
				Caraway__Content *content)
{
	switch (kind) {
	case SECTION_SERVICE: {
		Caraway__Service *service = malloc(sizeof(*service));

		caraway__service__init(service);
		service->name = strdup(name);
		content->services[content->n_services++] = service;
		return read_service(reader, service);
	}
	case SECTION_ROUTE: {
		Caraway__Route *route = malloc(sizeof(*route));

		caraway__route__init(route);
		route->name = strdup(name);
		content->routes[content->n_routes++] = route;
		return read_route(reader, route);
	}
	case SECTION_LIMITS: {
		Caraway__CallerLimits *limits = malloc(sizeof(*limits));

		caraway__caller_limits__init(limits);
		limits->name = strdup(name);
		content->limits[content->n_limits++] = limits;
		return read_limits(reader, limits);
	}
	case SECTION_ACCOUNT: {
		Caraway__ClientAccount *account = malloc(sizeof(*account));

		caraway__client_account__init(account);
		account->name = strdup(name);
		content->accounts[content->n_accounts++] = account;
		return read_account(reader, account);
	}
	default: {
		Caraway__Target *target = malloc(sizeof(*target));

		caraway__target__init(target);
		target->name = strdup(name);
		content->targets[content->n_targets++] = target;
		return read_target(reader, target);
	}
	}
}

/* Reads the current section; CW_ERR_CHANGE_FILE when its heading is not known. */
static cw_status_t read_group(const reader_t *reader, Caraway__Content *content)
{
	const char *space = strchr(reader->group, ' ');

	if (!strcmp(reader->group, "change"))
		return read_change(reader, content);
	for (int kind = 0; kind < SECTION_KINDS && space; kind++) {
		char *heading = g_strconcat(section_kind_keyword(kind), " ", NULL);
		bool found = g_str_has_prefix(reader->group, heading);

		g_free(heading);
		if (!found)
			continue;
		if (!name_is_valid(space + 1))
			return cw_fail(CW_ERR_CHANGE_FILE, "%s: [%s] has no valid name", reader->file,
				       reader->group);
		return read_section(reader, kind, space + 1, content);
	}
	return cw_fail(CW_ERR_CHANGE_FILE,
		       "%s: [%s] is not a known section; use [change], [service NAME], [route NAME], "
		       "[target NAME], [limits NAME] or [account NAME]",
		       reader->file, reader->group);
}

/* Orders strings. */
static int compare_strings(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Reads every section in the order of their headings, so that equal changes give equal contents. */
static cw_status_t read_groups(reader_t *reader, Caraway__Content *content)
{
	gsize count;
	char **groups = g_key_file_get_groups(reader->keys, &count);
	cw_status_t status = CW_OK;

	content->services = cw_message_array(count);
	content->routes = cw_message_array(count);
	content->targets = cw_message_array(count);
	content->limits = cw_message_array(count);
	content->accounts = cw_message_array(count);
	qsort(groups, count, sizeof(char *), compare_strings);
	for (size_t i = 0; i < count && !status; i++) {
		reader->group = groups[i];
		status = read_group(reader, content);
	}
	g_strfreev(groups);
	return status;
}

/* Checks the whole content, adding the file's name to the message. */
static cw_status_t check_content(const char *file, const Caraway__Content *content)
{
	cw_status_t status = cw_content_check(content);
	char *reason;

	if (!status)
		return CW_OK;
	reason = g_strdup(cw_last_error_message());
	cw_fail(status, "%s: %s", file, reason);
	g_free(reason);
	return status;
}

/* Reads the sections of a parsed file into a content. */
static cw_status_t read_content(const char *file, GKeyFile *keys, Caraway__Content *content)
{
	reader_t reader = {.file = file, .keys = keys};
	cw_status_t status;

	if (!g_key_file_has_group(keys, "change"))
		return cw_fail(CW_ERR_CHANGE_FILE, "%s: section [change] is missing; add it", file);
	status = read_groups(&reader, content);
	return status ? status : check_content(file, content);
}

/*
 * Parses the text of a change file; the caller frees *content with
 * cw_message_free().  Fails with CW_ERR_CHANGE_FILE or CW_ERR_SELECTOR and a
 * message that names the file, the section and the key.
 */
cw_status_t cw_change_parse(const char *text, size_t length, const char *file, Caraway__Content **content)
{
	Caraway__Content *parsed;
	GKeyFile *keys;
	cw_status_t status;

	*content = NULL;
	if (length > FILE_MAX_BYTES)
		return cw_fail(CW_ERR_CHANGE_FILE, "%s: is larger than %d bytes", file, FILE_MAX_BYTES);
	status = cw_ini_parse(text, length, file, CW_ERR_CHANGE_FILE, &keys);
	if (status)
		return status;
	parsed = malloc(sizeof(*parsed));
	caraway__content__init(parsed);
	status = read_content(file, keys, parsed);
	g_key_file_unref(keys);
	if (status)
		cw_message_free(parsed);
	else
		*content = parsed;
	return status;
}
