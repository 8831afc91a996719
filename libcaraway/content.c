/* Validation and digest of the content of a change. */
#include "catalog.h"

#include <string.h>

enum {
	NAME_MAX_BYTES = 128,
	PATH_MAX_BYTES = 512,
	TITLE_MAX_BYTES = 256,
	CONTENT_MAX_SECTIONS = 10000,
	CONTENT_MAX_BYTES = 1024 * 1024,
	TIMEOUT_MAX_MS = 24 * 60 * 60 * 1000,
	WEIGHT_MAX = 1000000000 /* per service of a split; keeps the sum of the weights exact */
};

/* Returns whether a text is a valid name: 1 to NAME_MAX_BYTES letters, digits, '.', '_', '-', ':' or '/'. */
bool name_is_valid(const char *name)
{
	size_t length = strlen(name);

	if (!length || length > NAME_MAX_BYTES)
		return false;
	for (size_t i = 0; i < length; i++)
		if (!g_ascii_isalnum(name[i]) && !strchr("._-:/", name[i]))
			return false;
	return true;
}

/* Returns how many sections of a kind a content has. */
size_t content_count(const Caraway__Content *content, section_kind_t kind)
{
	switch (kind) {
	case SECTION_SERVICE:
		return content->n_services;
	case SECTION_ROUTE:
		return content->n_routes;
	case SECTION_LIMITS:
		return content->n_limits;
	case SECTION_ACCOUNT:
		return content->n_accounts;
	default:
		return content->n_targets;
	}
}

/* Returns a borrowed section of a content. */
section_t content_section(const Caraway__Content *content, section_kind_t kind, size_t i)
{
	section_t section = {.kind = kind};

	switch (kind) {
	case SECTION_SERVICE:
		section.service = content->services[i];
		break;
	case SECTION_ROUTE:
		section.route = content->routes[i];
		break;
	case SECTION_LIMITS:
		section.limits = content->limits[i];
		break;
	case SECTION_ACCOUNT:
		section.account = content->accounts[i];
		break;
	default:
		section.target = content->targets[i];
	}
	return section;
}

/* Returns the keyword of a kind of section in change files. */
const char *section_kind_keyword(section_kind_t kind)
{
	static const char *const keywords[SECTION_KINDS] = {"service", "route", "target", "limits",
							    "account"};

	return keywords[kind];
}

/* Frees a content whose sections belong to others; NULL is allowed. */
void cw_content_free_borrowed(Caraway__Content *content)
{
	if (!content)
		return;
	content->n_services = 0;
	content->n_routes = 0;
	content->n_targets = 0;
	content->n_limits = 0;
	content->n_accounts = 0;
	cw_message_free(content);
}

/* Returns a section's name. */
const char *section_name(section_t section)
{
	switch (section.kind) {
	case SECTION_SERVICE:
		return section.service->name;
	case SECTION_ROUTE:
		return section.route->name;
	case SECTION_LIMITS:
		return section.limits->name;
	case SECTION_ACCOUNT:
		return section.account->name;
	default:
		return section.target->name;
	}
}

/* Returns the i-th service that a route sends calls to, counted from 0; NULL beyond the last. */
static const char *route_service(const Caraway__Route *route, size_t i)
{
	if (!route->n_splits)
		return i ? NULL : route->service;
	return i < route->n_splits ? route->splits[i]->service : NULL;
}

/* Returns the i-th service that a section refers to, counted from 0; NULL beyond the last. */
const char *section_service(section_t section, size_t i)
{
	switch (section.kind) {
	case SECTION_ROUTE:
		return route_service(section.route, i);
	case SECTION_TARGET:
		return i ? NULL : section.target->service;
	default:
		return NULL;
	}
}

/* Returns the target that a section refers to; NULL when it refers to none. */
const char *section_target(section_t section)
{
	if (section.kind != SECTION_ROUTE || !*section.route->target)
		return NULL;
	return section.route->target;
}

/* Returns whether a section is a removal. */
bool section_is_removed(section_t section)
{
	switch (section.kind) {
	case SECTION_SERVICE:
		return section.service->removed;
	case SECTION_ROUTE:
		return section.route->removed;
	case SECTION_LIMITS:
		return section.limits->removed;
	case SECTION_ACCOUNT:
		return section.account->removed;
	default:
		return section.target->removed;
	}
}

/* Checks that a route's path is absolute, of printable ASCII without spaces, and has no query or fragment. */
static cw_status_t check_path(const Caraway__Route *route)
{
	if (*route->path != '/')
		return cw_fail(CW_ERR_CHANGE_FILE, "route %s: path must start with \"/\"", route->name);
	if (strlen(route->path) > PATH_MAX_BYTES)
		return cw_fail(CW_ERR_CHANGE_FILE, "route %s: path is longer than %d bytes", route->name,
			       PATH_MAX_BYTES);
	for (const char *c = route->path; *c; c++)
		if (!g_ascii_isgraph(*c) || *c == '?' || *c == '#')
			return cw_fail(
				CW_ERR_CHANGE_FILE,
				"route %s: path has a space, \"?\", \"#\" or other character not allowed",
				route->name);
	return CW_OK;
}

/* Checks the fields of a service that is not a removal. */
static cw_status_t check_service(const Caraway__Service *service)
{
	if (service->timeout_ms > TIMEOUT_MAX_MS)
		return cw_fail(CW_ERR_CHANGE_FILE, "service %s: timeout-ms is more than %d", service->name,
			       TIMEOUT_MAX_MS);
	return CW_OK;
}

/* Checks the services and weights of a route that splits its calls over several services. */
static cw_status_t check_splits(const Caraway__Route *route)
{
	double sum = 0;

	if (*route->service || *route->target)
		return cw_fail(CW_ERR_CHANGE_FILE, "route %s: has both a split and a service or target",
			       route->name);
	for (size_t i = 0; i < route->n_splits; i++) {
		double weight = route->splits[i]->weight;

		if (!name_is_valid(route->splits[i]->service))
			return cw_fail(CW_ERR_CHANGE_FILE, "route %s: split: service is not a valid name",
				       route->name);
		if (!(weight >= 0 && weight <= WEIGHT_MAX))
			return cw_fail(CW_ERR_CHANGE_FILE, "route %s: split: weight is not between 0 and %d",
				       route->name, WEIGHT_MAX);
		sum += weight;
	}
	if (sum <= 0)
		return cw_fail(CW_ERR_CHANGE_FILE, "route %s: split: the weights add up to 0", route->name);
	return CW_OK;
}

/* Returns whether a host is empty or has only letters, digits, '.', '_', '-' and ':'. */
static bool host_is_valid(const char *host)
{
	size_t length = strlen(host);

	for (size_t i = 0; i < length; i++)
		if (!g_ascii_isalnum(host[i]) && !strchr("._-:", host[i]))
			return false;
	return length <= NAME_MAX_BYTES;
}

/* Checks the service or split that a route sends calls to. */
static cw_status_t check_destination(const Caraway__Route *route)
{
	if (route->n_splits)
		return check_splits(route);
	if (!name_is_valid(route->service))
		return cw_fail(CW_ERR_CHANGE_FILE, "route %s: service is missing or not a valid name",
			       route->name);
	return CW_OK;
}

/* Checks the fields of a route that is not a removal. */
static cw_status_t check_route(const Caraway__Route *route)
{
	cw_status_t status = check_destination(route);

	if (status)
		return status;
	if (!host_is_valid(route->host))
		return cw_fail(CW_ERR_CHANGE_FILE, "route %s: host is not a valid name", route->name);
	if (route->timeout_ms > TIMEOUT_MAX_MS || route->target_latency_ms > TIMEOUT_MAX_MS)
		return cw_fail(CW_ERR_CHANGE_FILE,
			       "route %s: timeout-ms or target-latency-ms is more than %d", route->name,
			       TIMEOUT_MAX_MS);
	if (*route->target && !name_is_valid(route->target))
		return cw_fail(CW_ERR_CHANGE_FILE, "route %s: target is not a valid name", route->name);
	if (route->idempotence > CARAWAY__IDEMPOTENCE__NEVER)
		return cw_fail(CW_ERR_CHANGE_FILE, "route %s: idempotent has an unknown value", route->name);
	if (route->access > CARAWAY__ACCESS__ACCESS_ACCOUNT)
		return cw_fail(CW_ERR_CHANGE_FILE, "route %s: access has an unknown value", route->name);
	return check_path(route);
}

/* Checks the fields of a target that is not a removal. */
static cw_status_t check_target(const Caraway__Target *target)
{
	cw_selector_t *selector;
	char *reason;

	if (!name_is_valid(target->service))
		return cw_fail(CW_ERR_CHANGE_FILE, "target %s: service is missing or not a valid name",
			       target->name);
	if (cw_selector_parse(target->selector, &selector)) {
		reason = g_strdup(cw_last_error_message());
		cw_fail(CW_ERR_SELECTOR, "target %s: %s", target->name, reason);
		g_free(reason);
		return CW_ERR_SELECTOR;
	}
	cw_selector_free(selector);
	return CW_OK;
}

/* Checks the fields of caller limits that are not a removal. */
static cw_status_t check_limits(const Caraway__CallerLimits *limits)
{
	if (!limits->max_header_bytes || !limits->header_timeout_ms || !limits->idle_timeout_ms)
		return cw_fail(
			CW_ERR_CHANGE_FILE,
			"limits %s: max-header-bytes, header-timeout-ms and idle-timeout-ms must be set",
			limits->name);
	if (limits->header_timeout_ms > TIMEOUT_MAX_MS || limits->idle_timeout_ms > TIMEOUT_MAX_MS)
		return cw_fail(CW_ERR_CHANGE_FILE,
			       "limits %s: header-timeout-ms or idle-timeout-ms is more than %d",
			       limits->name, TIMEOUT_MAX_MS);
	return CW_OK;
}

/* Returns whether a removal sets none of the fields checked here; its other fields have no effect. */
static bool removal_is_valid(section_t section)
{
	switch (section.kind) {
	case SECTION_SERVICE:
		return !section.service->timeout_ms && !*section.service->health_path &&
		       !section.service->max_connections;
	case SECTION_ROUTE:
		return !*section.route->path && !*section.route->service && !*section.route->target &&
		       !*section.route->host && !section.route->n_splits &&
		       section.route->idempotence == CARAWAY__IDEMPOTENCE__BY_METHOD;
	case SECTION_LIMITS:
		return !section.limits->max_header_bytes && !section.limits->max_body_bytes;
	case SECTION_ACCOUNT:
		return account_removal_is_valid(section.account);
	default:
		return !*section.target->service && !*section.target->selector;
	}
}

/* Validates one section by itself; fails with CW_ERR_CHANGE_FILE or CW_ERR_SELECTOR, naming the section. */
cw_status_t section_check(section_t section)
{
	const char *keyword = section_kind_keyword(section.kind);

	if (!name_is_valid(section_name(section)))
		return cw_fail(CW_ERR_CHANGE_FILE, "a %s has no valid name", keyword);
	if (section_is_removed(section))
		return removal_is_valid(section)
			       ? CW_OK
			       : cw_fail(CW_ERR_CHANGE_FILE, "%s %s: a removal has no other keys", keyword,
					 section_name(section));
	switch (section.kind) {
	case SECTION_SERVICE:
		return check_service(section.service);
	case SECTION_ROUTE:
		return check_route(section.route);
	case SECTION_LIMITS:
		return check_limits(section.limits);
	case SECTION_ACCOUNT:
		return account_check(section.account);
	default:
		return check_target(section.target);
	}
}

/* Checks the title, the size and the number of sections. */
static cw_status_t check_title_and_size(const Caraway__Content *content)
{
	size_t count = content->n_services + content->n_routes + content->n_targets + content->n_limits +
		       content->n_accounts;

	if (!*content->title)
		return cw_fail(CW_ERR_CHANGE_FILE, "the change has no title");
	if (strlen(content->title) > TITLE_MAX_BYTES || !g_utf8_validate(content->title, -1, NULL))
		return cw_fail(CW_ERR_CHANGE_FILE, "the title is longer than %d bytes or not UTF-8",
			       TITLE_MAX_BYTES);
	if (!count || count > CONTENT_MAX_SECTIONS)
		return cw_fail(CW_ERR_CHANGE_FILE, "the change has %zu sections, 1 to %d are allowed", count,
			       CONTENT_MAX_SECTIONS);
	if (protobuf_c_message_get_packed_size(&content->base) > CONTENT_MAX_BYTES)
		return cw_fail(CW_ERR_CHANGE_FILE, "the change is larger than %d bytes", CONTENT_MAX_BYTES);
	return CW_OK;
}

/* Moves to the next section of a content; returns false after the last. */
bool section_cursor_next(section_cursor_t *cursor, const Caraway__Content *content, section_t *section)
{
	for (; cursor->kind < SECTION_KINDS; cursor->kind++, cursor->next = 0) {
		if (cursor->next >= content_count(content, cursor->kind))
			continue;
		*section = content_section(content, cursor->kind, cursor->next++);
		return true;
	}
	return false;
}

struct cw_content_check {
	const Caraway__Content *content;
	bool complete; /* the content is a complete configuration */
	section_cursor_t cursor;
	GHashTable *names[SECTION_KINDS]; /* sets of the names seen, borrowed */
	GHashTable *account_keys;	  /* keys of the accounts seen, or their digests -> account */
	cw_status_t status;		  /* of the sections seen */
};

/* Begins to validate a content, which must outlast the check: by itself, or as a complete configuration. */
cw_content_check_t *cw_content_check_new(const Caraway__Content *content, bool complete)
{
	cw_content_check_t *check = g_new0(cw_content_check_t, 1);
	cw_selector_t *selector;

	check->content = content;
	check->complete = complete;
	for (int kind = 0; kind < SECTION_KINDS; kind++)
		check->names[kind] = g_hash_table_new(g_str_hash, g_str_equal);
	check->account_keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	check->status = check_title_and_size(content);
	if (!check->status)
		check->status = cw_selector_parse(content->selector, &selector);
	if (!check->status)
		cw_selector_free(selector);
	return check;
}

/* Checks a route of a complete configuration, whose services have been seen before it. */
static cw_status_t check_complete_route(const Caraway__Route *route, GHashTable *services)
{
	section_t section = {.kind = SECTION_ROUTE, .route = route};
	const char *service;

	if (!*route->host)
		return cw_fail(CW_ERR_CHECK, "route %s: host is missing", route->name);
	if (!route->timeout_ms)
		return cw_fail(CW_ERR_CHECK, "route %s: the timeout is 0", route->name);
	for (size_t i = 0; (service = section_service(section, i)); i++)
		if (!g_hash_table_contains(services, service))
			return cw_fail(CW_ERR_CHECK, "route %s refers to service %s, which does not exist",
				       route->name, service);
	return CW_OK;
}

/* Validates one section, and that its name has not been seen before. */
static cw_status_t check_next(cw_content_check_t *check, section_t section)
{
	cw_status_t status = section_check(section);

	if (!status && !g_hash_table_add(check->names[section.kind], (char *)section_name(section)))
		status = cw_fail(CW_ERR_CHANGE_FILE, "%s %s appears twice",
				 section_kind_keyword(section.kind), section_name(section));
	if (!status && check->complete && section.kind == SECTION_ROUTE)
		status = check_complete_route(section.route, check->names[SECTION_SERVICE]);
	if (!status && section.kind == SECTION_ACCOUNT && !section_is_removed(section) &&
	    account_adds_shared_key(section.account, check->account_keys))
		status = cw_fail(CW_ERR_CHECK, "account %s has a key of another account",
				 section_name(section));
	return status;
}

/* Validates up to *budget sections, subtracts their number and returns whether the check has ended. */
bool cw_content_check_continue(cw_content_check_t *check, size_t *budget)
{
	while (!check->status && *budget) {
		section_t section;

		if (!section_cursor_next(&check->cursor, check->content, &section))
			return true;
		--*budget;
		check->status = check_next(check, section);
	}
	return check->status != CW_OK;
}

/* Returns the outcome of the sections seen, and frees the check. */
cw_status_t cw_content_check_finish(cw_content_check_t *check)
{
	cw_status_t status = check->status;

	for (int kind = 0; kind < SECTION_KINDS; kind++)
		g_hash_table_destroy(check->names[kind]);
	g_hash_table_destroy(check->account_keys);
	g_free(check);
	return status;
}

/* Validates a content in one part. */
static cw_status_t check_at_once(const Caraway__Content *content, bool complete)
{
	cw_content_check_t *check = cw_content_check_new(content, complete);
	size_t budget = SIZE_MAX;

	cw_content_check_continue(check, &budget);
	return cw_content_check_finish(check);
}

/*
 * Validates a content by itself, without regard to the active configuration.
 * Fails with CW_ERR_CHANGE_FILE or CW_ERR_SELECTOR.
 */
cw_status_t cw_content_check(const Caraway__Content *content)
{
	return check_at_once(content, false);
}

/* Validates a content as a complete configuration, whose routes send calls only to its own services. */
cw_status_t cw_content_check_complete(const Caraway__Content *content)
{
	return check_at_once(content, true);
}

/* Returns the hash of a serialized content. */
uint64_t cw_content_digest(const Caraway__Content *content)
{
	GBytes *packed = cw_message_pack(&content->base);
	gsize length;
	const void *data = g_bytes_get_data(packed, &length);
	uint64_t digest = cw_hash(data, length, 0);

	g_bytes_unref(packed);
	return digest;
}
