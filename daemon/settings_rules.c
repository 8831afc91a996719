/* The keys of a settings file: value types, ranges and defaults. */
#include "settings_rules.h"

#include <arpa/inet.h>
#include <string.h>

enum { MS_PER_S = 1000 };

static const char *const log_levels[] = {"error", "warning", "info", "debug", NULL};

#define OFFSET(member) offsetof(settings_t, member)

static const rule_t process_rules[] = {
	{"process", "role", VALUE_ROLE, OFFSET(role), NULL, 0, 0},
	{"process", "metrics-listen", VALUE_ADDRESS, OFFSET(metrics_listen), "", 0, 0},
	{"process", "log-level", VALUE_LOG_LEVEL, OFFSET(log_level), "info", 0, 0},
};

static const rule_t control_rules[] = {
	{"control", "id", VALUE_NUMBER, OFFSET(control.id), "0", 0, MAX_REPLICA_ID},
	{"control", "listen", VALUE_ADDRESS, OFFSET(control.listen), "", 0, 0},
	{"control", "data-folder", VALUE_TEXT, OFFSET(control.data_folder), NULL, 0, 0},
	{"control", "heartbeat-ms", VALUE_NUMBER, OFFSET(control.heartbeat_ms), "100", 10, 10000},
	{"control", "election-ms", VALUE_NUMBER, OFFSET(control.election_ms), "1000", 50, 60000},
	{"control", "leader-lease-ms", VALUE_NUMBER, OFFSET(control.leader_lease_ms), "700", 20, 60000},
	{"control", "endpoint-lease-ms", VALUE_NUMBER, OFFSET(control.endpoint_lease_ms), "30000", 500,
	 600000},
	{"control", "snapshot-entries", VALUE_NUMBER, OFFSET(control.snapshot_entries), "1024", 8, 1000000},
	{"control", "feed-keep-records", VALUE_NUMBER, OFFSET(control.feed_keep_records), "4096", 1, 1000000},
	{"control", "children", VALUE_NUMBER, OFFSET(control.children), "64", 1, 10000},
	{"control", "zone-heads", VALUE_NUMBER, OFFSET(control.zone_heads), "1", 1, 10000},
	{"control", "stamp-ms", VALUE_NUMBER, OFFSET(control.stamp_ms), "1000", 10, 60000},
	{"control", "losses", VALUE_NUMBER, OFFSET(control.losses), "0", 0, MAX_LOSSES},
	{"control", "bootstrap", VALUE_BOOLEAN, OFFSET(control.bootstrap), "no", 0, 0},
	{"control", "operator-listen", VALUE_ADDRESS, OFFSET(control.operator_listen), "", 0, 0},
	{"control", "operator", VALUE_NAME, OFFSET(control.operator_name), "gateway", 0, 0},
	{"control", "approval", VALUE_NAME, OFFSET(control.approval), "standing", 0, 0},
};

static const rule_t proxy_rules[] = {
	{"proxy", "vm", VALUE_NAME, OFFSET(proxy.vm), NULL, 0, 0},
	{"proxy", "zone", VALUE_NAME, OFFSET(proxy.zone), NULL, 0, 0},
	{"proxy", "region", VALUE_NAME, OFFSET(proxy.region), NULL, 0, 0},
	{"proxy", "service", VALUE_NAME, OFFSET(proxy.service), NULL, 0, 0},
	{"proxy", "listen", VALUE_LISTEN_ADDRESS, OFFSET(proxy.listen), NULL, 0, 0},
	{"proxy", "call-listen", VALUE_LISTEN_ADDRESS, OFFSET(proxy.call_listen), NULL, 0, 0},
	{"proxy", "feed-listen", VALUE_LISTEN_ADDRESS, OFFSET(proxy.feed_listen), NULL, 0, 0},
	{"proxy", "call-announce", VALUE_ADDRESS, OFFSET(proxy.call_announce), "", 0, 0},
	{"proxy", "feed-announce", VALUE_ADDRESS, OFFSET(proxy.feed_announce), "", 0, 0},
	{"proxy", "target", VALUE_ADDRESS, OFFSET(proxy.target), NULL, 0, 0},
	{"proxy", "slots", VALUE_NUMBER, OFFSET(proxy.slots), "12", 1, 1024},
	{"proxy", "connections", VALUE_NUMBER, OFFSET(proxy.connections), "120", 1, 65536},
	{"proxy", "queue", VALUE_NUMBER, OFFSET(proxy.queue), "24", 0, 65536},
	{"proxy", "memory-mb", VALUE_NUMBER, OFFSET(proxy.memory_mb), "128", 32, 1048576},
	{"proxy", "waiting-memory-percent", VALUE_NUMBER, OFFSET(proxy.waiting_memory_percent), "25", 5, 50},
	{"proxy", "slow-reader-ms", VALUE_NUMBER, OFFSET(proxy.slow_reader_ms), "1000", 100, 600000},
	{"proxy", "timeout-ms", VALUE_NUMBER, OFFSET(proxy.timeout_ms), "2000", 1, 600000},
	{"proxy", "freshness-ms", VALUE_NUMBER, OFFSET(proxy.freshness_ms), "5000", 100, 600000},
	{"proxy", "hold-ms", VALUE_NUMBER, OFFSET(proxy.hold_ms), "1000", 10, 60000},
	{"proxy", "batch-ms", VALUE_NUMBER, OFFSET(proxy.batch_ms), "100", 0, 60000},
	{"proxy", "report-ms", VALUE_NUMBER, OFFSET(proxy.report_ms), "10000", 100, 600000},
	{"proxy", "children", VALUE_NUMBER, OFFSET(proxy.children), "16", 0, 10000},
	{"proxy", "zone-heads", VALUE_NUMBER, OFFSET(proxy.zone_heads), "1", 1, 10000},
	{"proxy", "feed-keep-records", VALUE_NUMBER, OFFSET(proxy.feed_keep_records), "1024", 1, 1000000},
	{"proxy", "target-listen", VALUE_ADDRESS, OFFSET(proxy.target_listen), "", 0, 0},
	{"proxy", "ready-listen", VALUE_ADDRESS, OFFSET(proxy.ready_listen), "", 0, 0},
	{"headers", "deadline", VALUE_HEADER, OFFSET(proxy.headers.deadline), "Caraway-Deadline-Ms", 0, 0},
	{"headers", "request-id", VALUE_HEADER, OFFSET(proxy.headers.request_id), "X-Request-Id", 0, 0},
	{"headers", "caller-service", VALUE_HEADER, OFFSET(proxy.headers.caller_service), "", 0, 0},
	{"headers", "expected-target", VALUE_HEADER, OFFSET(proxy.headers.expected_target), "", 0, 0},
	{"headers", "not-executed", VALUE_HEADER, OFFSET(proxy.headers.not_executed), "", 0, 0},
	{"headers", "account-key", VALUE_HEADER, OFFSET(proxy.headers.account_key), "Caraway-Account-Key", 0,
	 0},
	{"headers", "account", VALUE_HEADER, OFFSET(proxy.headers.account), "Caraway-Account", 0, 0},
	{"headers", "target-id", VALUE_HEADER, OFFSET(proxy.headers.target_id), "", 0, 0},
	{"proxy", "key-lease-s", VALUE_SECONDS, OFFSET(proxy.key_lease_ms), "0", 0, 600000},
	{"proxy", "allotment-window-s", VALUE_SECONDS, OFFSET(proxy.allotment_window_ms), "0", 0,
	 CW_ALLOTMENT_MAX_WINDOW_MS},
	{"proxy", "allotment-overage", VALUE_FRACTION, OFFSET(proxy.allotment_overage_permille), "0", 0,
	 1000},
	{"proxy", "grace-s", VALUE_SECONDS, OFFSET(proxy.grace_ms), "12", 0, 600000},
	{"proxy", "fair-shares", VALUE_BOOLEAN, OFFSET(proxy.fair_shares), "no", 0, 0},
	{"proxy", "cost-aware", VALUE_BOOLEAN, OFFSET(proxy.cost_aware), "no", 0, 0},
	{"proxy", "retry-percent", VALUE_NUMBER, OFFSET(proxy.retry_percent), "10", 0, 100},
};

/* Returns the rules of [process], which every role reads. */
rule_set_t rules_for_process(void)
{
	return (rule_set_t){process_rules, G_N_ELEMENTS(process_rules)};
}

/* Returns the rules of the sections of a role. */
rule_set_t rules_for_role(role_t role)
{
	switch (role) {
	case ROLE_CONTROL:
		return (rule_set_t){control_rules, G_N_ELEMENTS(control_rules)};
	case ROLE_PROXY:
		break;
	}
	return (rule_set_t){proxy_rules, G_N_ELEMENTS(proxy_rules)};
}

/* Returns whether a rule set contains a key; with a NULL key, whether it contains the section. */
bool rules_contain(rule_set_t set, const char *group, const char *key)
{
	for (size_t i = 0; i < set.count; i++)
		if (strcmp(set.rules[i].group, group) == 0 && (!key || strcmp(set.rules[i].key, key) == 0))
			return true;
	return false;
}

/* Parses a decimal integer from min to max. */
bool value_parse_number(const char *text, uint32_t min, uint32_t max, uint32_t *number)
{
	guint64 value = 0;

	if (!g_ascii_string_to_unsigned(text, 10, min, max, &value, NULL))
		return false;
	*number = (uint32_t)value;
	return true;
}

/*
 * Returns whether text is IPv4:PORT with a port of at least min_port and a host
 * other than 0.0.0.0, to which other hosts could not connect.
 */
bool value_is_address(const char *text, uint32_t min_port)
{
	const char *colon = strrchr(text, ':');
	struct in_addr host;
	uint32_t port;

	if (!colon)
		return false;

	g_autofree char *host_text = g_strndup(text, (size_t)(colon - text));
	if (inet_pton(AF_INET, host_text, &host) != 1 || host.s_addr == INADDR_ANY)
		return false;
	return value_parse_number(colon + 1, min_port, MAX_PORT, &port);
}

/* Returns whether text holds only letters, digits, '.', '_' and '-', and begins with a letter or digit. */
static bool is_name(const char *text)
{
	if (!g_ascii_isalnum(*text))
		return false;
	for (const char *c = text; *c; c++)
		if (!g_ascii_isalnum(*c) && !strchr("._-", *c))
			return false;
	return true;
}

/* Parses a number of seconds, or another decimal number, as thousandths from min_ms to max_ms. */
static bool parse_seconds(const char *text, uint32_t min_ms, uint32_t max_ms, uint32_t *ms)
{
	char *end;
	double exact_ms = g_ascii_strtod(text, &end) * MS_PER_S;

	if (end == text || *end || !(exact_ms >= min_ms && exact_ms <= max_ms))
		return false;
	*ms = (uint32_t)(exact_ms + 0.5);
	return true;
}

/* Parses yes, true, no or false. */
static bool parse_boolean(const char *text, bool *boolean)
{
	*boolean = !strcmp(text, "yes") || !strcmp(text, "true");
	return *boolean || !strcmp(text, "no") || !strcmp(text, "false");
}

/* Parses the name of a role. */
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

/* Parses a value into its field of the settings; returns NULL, or a description of the values allowed. */
const char *rule_parse_value(settings_t *settings, const rule_t *rule, const char *value)
{
	void *field = (char *)settings + rule->offset;

	switch (rule->kind) {
	case VALUE_ROLE:
		return parse_role(value, field) ? NULL : "use control or proxy";
	case VALUE_SECONDS:
		return parse_seconds(value, rule->min, rule->max, field)
			       ? NULL
			       : "give a number of seconds within the allowed range";
	case VALUE_FRACTION:
		return parse_seconds(value, rule->min, rule->max, field) ? NULL : "give a number from 0 to 1";
	case VALUE_BOOLEAN:
		return parse_boolean(value, field) ? NULL : "use yes or no";
	case VALUE_HEADER:
		if (*value && !is_name(value))
			return "use letters, digits and '-'";
		break;
	case VALUE_NUMBER:
		return value_parse_number(value, rule->min, rule->max, field) ? NULL : "out of range";
	case VALUE_NAME:
		if (!is_name(value))
			return "use letters, digits, '.', '_' and '-'";
		break;
	case VALUE_LOG_LEVEL:
		if (!g_strv_contains(log_levels, value))
			return "use error, warning, info or debug";
		break;
	case VALUE_TEXT:
		if (*value == '\0')
			return "must not be empty";
		break;
	case VALUE_ADDRESS:
		if (*value && !value_is_address(value, 1))
			return "give an IPv4 address and a port, such as 10.0.0.5:7101";
		break;
	case VALUE_LISTEN_ADDRESS:
		if (!value_is_address(value, 0))
			return "give an IPv4 address that other hosts can reach and a port (0 picks a free one)";
		break;
	}
	*(char **)field = g_strdup(value);
	return NULL;
}
