/* The keys of a settings file: their kinds of value, ranges and defaults. */
#include "settings_rules.h"

#include <arpa/inet.h>
#include <string.h>

enum { MS_PER_S = 1000 };

static const char *const log_levels[] = {"error", "warning", "info", "debug", NULL};

#define AT(member) offsetof(settings_t, member)

static const rule_t process_rules[] = {
	{"process", "role", VALUE_ROLE, AT(role), NULL, 0, 0},
	{"process", "metrics-listen", VALUE_ADDRESS, AT(metrics_listen), "", 0, 0},
	{"process", "log-level", VALUE_LEVEL, AT(log_level), "info", 0, 0},
};

static const rule_t control_rules[] = {
	{"control", "id", VALUE_NUMBER, AT(control.id), "0", 0, MAX_REPLICA_ID},
	{"control", "listen", VALUE_ADDRESS, AT(control.listen), "", 0, 0},
	{"control", "data-folder", VALUE_TEXT, AT(control.data_folder), NULL, 0, 0},
	{"control", "heartbeat-ms", VALUE_NUMBER, AT(control.heartbeat_ms), "100", 10, 10000},
	{"control", "election-ms", VALUE_NUMBER, AT(control.election_ms), "1000", 50, 60000},
	{"control", "leader-lease-ms", VALUE_NUMBER, AT(control.leader_lease_ms), "700", 20, 60000},
	{"control", "endpoint-lease-ms", VALUE_NUMBER, AT(control.endpoint_lease_ms), "30000", 500, 600000},
	{"control", "snapshot-entries", VALUE_NUMBER, AT(control.snapshot_entries), "1024", 8, 1000000},
	{"control", "feed-keep-records", VALUE_NUMBER, AT(control.feed_keep_records), "4096", 1, 1000000},
	{"control", "children", VALUE_NUMBER, AT(control.children), "64", 1, 10000},
	{"control", "zone-heads", VALUE_NUMBER, AT(control.zone_heads), "1", 1, 10000},
	{"control", "stamp-ms", VALUE_NUMBER, AT(control.stamp_ms), "1000", 10, 60000},
	{"control", "losses", VALUE_NUMBER, AT(control.losses), "0", 0, MAX_LOSSES},
	{"control", "bootstrap", VALUE_FLAG, AT(control.bootstrap), "no", 0, 0},
	{"control", "operator-listen", VALUE_ADDRESS, AT(control.operator_listen), "", 0, 0},
	{"control", "operator", VALUE_NAME, AT(control.operator_name), "gateway", 0, 0},
	{"control", "approval", VALUE_NAME, AT(control.approval), "standing", 0, 0},
};

static const rule_t proxy_rules[] = {
	{"proxy", "vm", VALUE_NAME, AT(proxy.vm), NULL, 0, 0},
	{"proxy", "zone", VALUE_NAME, AT(proxy.zone), NULL, 0, 0},
	{"proxy", "region", VALUE_NAME, AT(proxy.region), NULL, 0, 0},
	{"proxy", "service", VALUE_NAME, AT(proxy.service), NULL, 0, 0},
	{"proxy", "listen", VALUE_LISTEN, AT(proxy.listen), NULL, 0, 0},
	{"proxy", "call-listen", VALUE_LISTEN, AT(proxy.call_listen), NULL, 0, 0},
	{"proxy", "feed-listen", VALUE_LISTEN, AT(proxy.feed_listen), NULL, 0, 0},
	{"proxy", "call-announce", VALUE_ADDRESS, AT(proxy.call_announce), "", 0, 0},
	{"proxy", "feed-announce", VALUE_ADDRESS, AT(proxy.feed_announce), "", 0, 0},
	{"proxy", "target", VALUE_ADDRESS, AT(proxy.target), NULL, 0, 0},
	{"proxy", "slots", VALUE_NUMBER, AT(proxy.slots), "12", 1, 1024},
	{"proxy", "connections", VALUE_NUMBER, AT(proxy.connections), "120", 1, 65536},
	{"proxy", "queue", VALUE_NUMBER, AT(proxy.queue), "24", 0, 65536},
	{"proxy", "timeout-ms", VALUE_NUMBER, AT(proxy.timeout_ms), "2000", 1, 600000},
	{"proxy", "freshness-ms", VALUE_NUMBER, AT(proxy.freshness_ms), "5000", 100, 600000},
	{"proxy", "hold-ms", VALUE_NUMBER, AT(proxy.hold_ms), "1000", 10, 60000},
	{"proxy", "batch-ms", VALUE_NUMBER, AT(proxy.batch_ms), "100", 0, 60000},
	{"proxy", "report-ms", VALUE_NUMBER, AT(proxy.report_ms), "10000", 100, 600000},
	{"proxy", "children", VALUE_NUMBER, AT(proxy.children), "16", 0, 10000},
	{"proxy", "zone-heads", VALUE_NUMBER, AT(proxy.zone_heads), "1", 1, 10000},
	{"proxy", "feed-keep-records", VALUE_NUMBER, AT(proxy.feed_keep_records), "1024", 1, 1000000},
	{"proxy", "target-listen", VALUE_ADDRESS, AT(proxy.target_listen), "", 0, 0},
	{"proxy", "ready-listen", VALUE_ADDRESS, AT(proxy.ready_listen), "", 0, 0},
	{"headers", "deadline", VALUE_HEADER, AT(proxy.headers.deadline), "Caraway-Deadline-Ms", 0, 0},
	{"headers", "request-id", VALUE_HEADER, AT(proxy.headers.request_id), "X-Request-Id", 0, 0},
	{"headers", "caller-service", VALUE_HEADER, AT(proxy.headers.caller_service), "", 0, 0},
	{"headers", "expected-target", VALUE_HEADER, AT(proxy.headers.expected_target), "", 0, 0},
	{"headers", "not-executed", VALUE_HEADER, AT(proxy.headers.not_executed), "", 0, 0},
	{"headers", "target-id", VALUE_HEADER, AT(proxy.headers.target_id), "", 0, 0},
	{"proxy", "grace-s", VALUE_SECONDS, AT(proxy.grace_ms), "12", 0, 600000},
	{"proxy", "retry-percent", VALUE_NUMBER, AT(proxy.retry_percent), "10", 0, 100},
};

/* Returns the rules of the section that every role has. */
rule_set_t rules_process(void)
{
	return (rule_set_t){process_rules, G_N_ELEMENTS(process_rules)};
}

/* Returns the rules of the section that belongs to a role. */
rule_set_t rules_role(role_t role)
{
	switch (role) {
	case ROLE_CONTROL:
		return (rule_set_t){control_rules, G_N_ELEMENTS(control_rules)};
	case ROLE_PROXY:
		break;
	}
	return (rule_set_t){proxy_rules, G_N_ELEMENTS(proxy_rules)};
}

/* True when a set of rules names a key; a NULL key asks for the section. */
bool rules_has(rule_set_t set, const char *group, const char *key)
{
	for (size_t i = 0; i < set.count; i++)
		if (strcmp(set.rules[i].group, group) == 0 && (!key || strcmp(set.rules[i].key, key) == 0))
			return true;
	return false;
}

/* Parses a whole decimal number within bounds. */
bool value_parse_number(const char *text, uint32_t least, uint32_t most, uint32_t *number)
{
	guint64 value = 0;

	if (!g_ascii_string_to_unsigned(text, 10, least, most, &value, NULL))
		return false;
	*number = (uint32_t)value;
	return true;
}

/* True for IPv4:PORT with a port of at least least_port and, for a peer, a definite host. */
bool value_is_address(const char *text, uint32_t least_port)
{
	const char *colon = strrchr(text, ':');
	struct in_addr host;
	uint32_t port;

	if (!colon)
		return false;

	g_autofree char *host_text = g_strndup(text, (size_t)(colon - text));
	if (inet_pton(AF_INET, host_text, &host) != 1 || host.s_addr == INADDR_ANY)
		return false;
	return value_parse_number(colon + 1, least_port, MAX_PORT, &port);
}

/* True for a name: letters, digits, '.', '_' and '-', beginning with a letter or digit. */
static bool is_name(const char *text)
{
	if (!g_ascii_isalnum(*text))
		return false;
	for (const char *c = text; *c; c++)
		if (!g_ascii_isalnum(*c) && !strchr("._-", *c))
			return false;
	return true;
}

/* Reads a time in seconds as milliseconds within bounds. */
static bool parse_seconds(const char *text, uint32_t least_ms, uint32_t most_ms, uint32_t *ms)
{
	char *end;
	double value = g_ascii_strtod(text, &end) * MS_PER_S;

	if (end == text || *end || !(value >= least_ms && value <= most_ms))
		return false;
	*ms = (uint32_t)(value + 0.5);
	return true;
}

/* Reads yes or no. */
static bool parse_flag(const char *text, bool *flag)
{
	*flag = !strcmp(text, "yes") || !strcmp(text, "true");
	return *flag || !strcmp(text, "no") || !strcmp(text, "false");
}

/* Reads the role's word. */
static bool parse_role(const char *text, role_t *role)
{
	if (strcmp(text, "control") == 0)
		*role = ROLE_CONTROL;
	else if (strcmp(text, "proxy") == 0)
		*role = ROLE_PROXY;
	else
		return false;
	return true;
}

/* Stores a checked value; returns what was wanted instead, or NULL when it is good. */
const char *rules_store(settings_t *settings, const rule_t *rule, const char *value)
{
	void *place = (char *)settings + rule->offset;

	switch (rule->kind) {
	case VALUE_ROLE:
		return parse_role(value, place) ? NULL : "use control or proxy";
	case VALUE_SECONDS:
		return parse_seconds(value, rule->least, rule->most, place)
			       ? NULL
			       : "give a number of seconds that is in range";
	case VALUE_FLAG:
		return parse_flag(value, place) ? NULL : "use yes or no";
	case VALUE_HEADER:
		if (*value && !is_name(value))
			return "use letters, digits and '-'";
		break;
	case VALUE_NUMBER:
		return value_parse_number(value, rule->least, rule->most, place) ? NULL : "out of range";
	case VALUE_NAME:
		if (!is_name(value))
			return "use letters, digits, '.', '_' and '-'";
		break;
	case VALUE_LEVEL:
		if (!g_strv_contains(log_levels, value))
			return "use error, warning, info or debug";
		break;
	case VALUE_TEXT:
		if (*value == '\0')
			return "must not be empty";
		break;
	case VALUE_ADDRESS:
		if (*value && !value_is_address(value, 1))
			return "give an IPv4 number and a port, as in 10.0.0.5:7101";
		break;
	case VALUE_LISTEN:
		if (!value_is_address(value, 0))
			return "give an IPv4 number that others can reach and a port (0 takes a free one)";
		break;
	}
	*(char **)place = g_strdup(value);
	return NULL;
}
