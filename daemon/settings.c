/* Settings of a daemon, read from one INI file and validated as a whole. */
#include "settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

#include "ini.h"

#define REPLICAS_GROUP "control-replicas"

enum { MAX_CONTROLS = 8, MAX_REPLICA_ID = 255, MAX_PORT = 65535 };

typedef enum {
	VALUE_NAME,    /* letters, digits, '.', '_' and '-' */
	VALUE_TEXT,    /* any text but the empty one */
	VALUE_ADDRESS, /* IPv4:PORT of a peer */
	VALUE_LISTEN,  /* IPv4:PORT to bind; port 0 takes a free one */
	VALUE_NUMBER,
	VALUE_ROLE
} value_kind_t;

/* One key of a settings file.  A key without a default is required. */
typedef struct {
	const char *group;
	const char *key;
	value_kind_t kind;
	size_t offset; /* in settings_t */
	const char *fallback;
	uint32_t least;
	uint32_t most;
} rule_t;

#define AT(member) offsetof(settings_t, member)

static const rule_t process_rules[] = {
	{"process", "role", VALUE_ROLE, AT(role), NULL, 0, 0},
	{"process", "log-level", VALUE_TEXT, AT(log_level), "info", 0, 0},
};

static const rule_t control_rules[] = {
	{"control", "id", VALUE_NUMBER, AT(control.id), NULL, 1, MAX_REPLICA_ID},
	{"control", "listen", VALUE_ADDRESS, AT(control.listen), "", 0, 0},
	{"control", "data-folder", VALUE_TEXT, AT(control.data_folder), NULL, 0, 0},
	{"control", "heartbeat-ms", VALUE_NUMBER, AT(control.heartbeat_ms), "100", 10, 10000},
	{"control", "election-ms", VALUE_NUMBER, AT(control.election_ms), "1000", 50, 60000},
	{"control", "leader-lease-ms", VALUE_NUMBER, AT(control.leader_lease_ms), "700", 20, 60000},
	{"control", "endpoint-lease-ms", VALUE_NUMBER, AT(control.endpoint_lease_ms), "10000", 500, 600000},
	{"control", "snapshot-entries", VALUE_NUMBER, AT(control.snapshot_entries), "1024", 8, 1000000},
	{"control", "feed-keep-records", VALUE_NUMBER, AT(control.feed_keep_records), "4096", 1, 1000000},
	{"control", "children", VALUE_NUMBER, AT(control.children), "64", 1, 10000},
};

static const rule_t proxy_rules[] = {
	{"proxy", "vm", VALUE_NAME, AT(proxy.vm), NULL, 0, 0},
	{"proxy", "zone", VALUE_NAME, AT(proxy.zone), NULL, 0, 0},
	{"proxy", "region", VALUE_NAME, AT(proxy.region), NULL, 0, 0},
	{"proxy", "service", VALUE_NAME, AT(proxy.service), NULL, 0, 0},
	{"proxy", "listen", VALUE_LISTEN, AT(proxy.listen), NULL, 0, 0},
	{"proxy", "call-listen", VALUE_LISTEN, AT(proxy.call_listen), NULL, 0, 0},
	{"proxy", "feed-listen", VALUE_LISTEN, AT(proxy.feed_listen), NULL, 0, 0},
	{"proxy", "target", VALUE_ADDRESS, AT(proxy.target), NULL, 0, 0},
	{"proxy", "slots", VALUE_NUMBER, AT(proxy.slots), "12", 1, 1024},
	{"proxy", "connections", VALUE_NUMBER, AT(proxy.connections), "120", 1, 65536},
	{"proxy", "queue", VALUE_NUMBER, AT(proxy.queue), "24", 0, 65536},
	{"proxy", "timeout-ms", VALUE_NUMBER, AT(proxy.timeout_ms), "2000", 1, 600000},
	{"proxy", "freshness-ms", VALUE_NUMBER, AT(proxy.freshness_ms), "5000", 100, 600000},
	{"proxy", "hold-ms", VALUE_NUMBER, AT(proxy.hold_ms), "1000", 10, 60000},
	{"proxy", "children", VALUE_NUMBER, AT(proxy.children), "16", 0, 10000},
	{"proxy", "feed-keep-records", VALUE_NUMBER, AT(proxy.feed_keep_records), "1024", 1, 1000000},
	{"proxy", "drain-ms", VALUE_NUMBER, AT(proxy.drain_ms), "10000", 0, 600000},
	{"proxy", "retry-percent", VALUE_NUMBER, AT(proxy.retry_percent), "10", 0, 100},
};

/* The rules that hold for a file, by its role. */
typedef struct {
	const rule_t *rules;
	size_t count;
} rule_set_t;

/* Returns the rules of the section that belongs to a role. */
static rule_set_t role_rules(role_t role)
{
	switch (role) {
	case ROLE_CONTROL:
		return (rule_set_t){control_rules, G_N_ELEMENTS(control_rules)};
	case ROLE_PROXY:
		break;
	}
	return (rule_set_t){proxy_rules, G_N_ELEMENTS(proxy_rules)};
}

/* Fails for one key of a file. */
static cw_status_t bad_value(const char *file, const char *group, const char *key, const char *value,
			     const char *wanted)
{
	return cw_fail(CW_ERR_SETTINGS, "%s: [%s] %s = \"%s\": %s", file, group, key, value, wanted);
}

/* Parses a whole decimal number within bounds. */
static bool parse_number(const char *text, uint32_t least, uint32_t most, uint32_t *number)
{
	guint64 value = 0;

	if (!g_ascii_string_to_unsigned(text, 10, least, most, &value, NULL))
		return false;
	*number = (uint32_t)value;
	return true;
}

/* True for IPv4:PORT with a port of at least least_port and, for a peer, a definite host. */
static bool is_address(const char *text, uint32_t least_port)
{
	const char *colon = strrchr(text, ':');
	struct in_addr host;
	uint32_t port;

	if (!colon)
		return false;

	g_autofree char *host_text = g_strndup(text, (size_t)(colon - text));
	if (inet_pton(AF_INET, host_text, &host) != 1 || host.s_addr == INADDR_ANY)
		return false;
	return parse_number(colon + 1, least_port, MAX_PORT, &port);
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
static const char *store_value(settings_t *settings, const rule_t *rule, const char *value)
{
	void *place = (char *)settings + rule->offset;

	switch (rule->kind) {
	case VALUE_ROLE:
		return parse_role(value, place) ? NULL : "use control or proxy";
	case VALUE_NUMBER:
		return parse_number(value, rule->least, rule->most, place) ? NULL : "out of range";
	case VALUE_NAME:
		if (!is_name(value))
			return "use letters, digits, '.', '_' and '-'";
		break;
	case VALUE_TEXT:
		if (*value == '\0')
			return "must not be empty";
		break;
	case VALUE_ADDRESS:
		if (*value && !is_address(value, 1))
			return "give an IPv4 number and a port, as in 10.0.0.5:7101";
		break;
	case VALUE_LISTEN:
		if (!is_address(value, 0))
			return "give an IPv4 number that others can reach and a port (0 takes a free one)";
		break;
	}
	*(char **)place = g_strdup(value);
	return NULL;
}

/* Reads one key of the file into the settings. */
static cw_status_t load_rule(const char *file, GKeyFile *keys, const rule_t *rule, settings_t *settings)
{
	g_autofree char *value = g_key_file_get_string(keys, rule->group, rule->key, NULL);

	if (!value && !rule->fallback)
		return cw_fail(CW_ERR_SETTINGS, "%s: [%s] %s is missing; add it", file, rule->group,
			       rule->key);
	if (value && *value == '\0' && rule->kind != VALUE_NAME)
		return bad_value(file, rule->group, rule->key, value, "must not be empty");

	const char *wanted = store_value(settings, rule, value ? value : rule->fallback);
	if (!wanted)
		return CW_OK;
	if (rule->kind != VALUE_NUMBER)
		return bad_value(file, rule->group, rule->key, value, wanted);
	return cw_fail(CW_ERR_SETTINGS, "%s: [%s] %s = \"%s\": give a whole number from %u to %u", file,
		       rule->group, rule->key, value, rule->least, rule->most);
}

/* Reads every key of a set of rules. */
static cw_status_t load_rules(const char *file, GKeyFile *keys, rule_set_t set, settings_t *settings)
{
	for (size_t i = 0; i < set.count; i++) {
		cw_status_t status = load_rule(file, keys, &set.rules[i], settings);
		if (status != CW_OK)
			return status;
	}
	return CW_OK;
}

/* True when a set of rules names a key; a NULL key asks for the section. */
static bool has_rule(rule_set_t set, const char *group, const char *key)
{
	for (size_t i = 0; i < set.count; i++)
		if (strcmp(set.rules[i].group, group) == 0 && (!key || strcmp(set.rules[i].key, key) == 0))
			return true;
	return false;
}

/* Refuses keys of one section that no rule names. */
static cw_status_t refuse_unknown_keys(const char *file, GKeyFile *keys, const char *group, rule_set_t set)
{
	g_auto(GStrv) names = g_key_file_get_keys(keys, group, NULL, NULL);

	for (size_t i = 0; names && names[i]; i++)
		if (!has_rule(set, group, names[i]))
			return cw_fail(CW_ERR_SETTINGS, "%s: [%s] %s is not a known key; remove it", file,
				       group, names[i]);
	return CW_OK;
}

/* Refuses sections and keys that no rule for this role names. */
static cw_status_t refuse_unknown(const char *file, GKeyFile *keys, role_t role)
{
	const rule_set_t process = {process_rules, G_N_ELEMENTS(process_rules)};
	const rule_set_t own = role_rules(role);
	g_auto(GStrv) groups = g_key_file_get_groups(keys, NULL);
	cw_status_t status = CW_OK;

	for (size_t i = 0; groups[i] && status == CW_OK; i++) {
		if (strcmp(groups[i], REPLICAS_GROUP) == 0)
			continue;
		if (has_rule(process, groups[i], NULL))
			status = refuse_unknown_keys(file, keys, groups[i], process);
		else if (has_rule(own, groups[i], NULL))
			status = refuse_unknown_keys(file, keys, groups[i], own);
		else
			status = cw_fail(CW_ERR_SETTINGS, "%s: [%s] is not a section of this role; remove it",
					 file, groups[i]);
	}
	return status;
}

/* Frees the text of an address in a list. */
static void control_address_clear(void *data)
{
	control_address_t *address = data;

	g_free(address->address);
}

/* Finds a replica's address by id; NULL when the list has none. */
static const char *find_control(const GArray *controls, uint32_t id)
{
	for (guint i = 0; i < controls->len; i++) {
		const control_address_t *control = &g_array_index(controls, control_address_t, i);
		if (control->id == id)
			return control->address;
	}
	return NULL;
}

/* Refuses an address that another replica of the list has already. */
static bool address_taken(const GArray *controls, const char *address)
{
	for (guint i = 0; i < controls->len; i++)
		if (g_strcmp0(g_array_index(controls, control_address_t, i).address, address) == 0)
			return true;
	return false;
}

/* Adds one line of the replica list. */
static cw_status_t add_control(const char *file, GKeyFile *keys, const char *key, GArray *controls)
{
	control_address_t control = {0};
	g_autofree char *value = g_key_file_get_string(keys, REPLICAS_GROUP, key, NULL);

	if (!parse_number(key, 1, MAX_REPLICA_ID, &control.id) || find_control(controls, control.id))
		return cw_fail(CW_ERR_SETTINGS, "%s: [" REPLICAS_GROUP "] %s: use each id from 1 to %d once",
			       file, key, MAX_REPLICA_ID);
	if (!value || !is_address(value, 1))
		return bad_value(file, REPLICAS_GROUP, key, value ? value : "",
				 "give an IPv4 number and a port, as in 10.0.0.5:7101");
	if (address_taken(controls, value))
		return bad_value(file, REPLICAS_GROUP, key, value, "another replica has this address");
	control.address = g_steal_pointer(&value);
	g_array_append_val(controls, control);
	return CW_OK;
}

/* Reads the replica list of an opened file. */
static cw_status_t load_controls(const char *file, GKeyFile *keys, GArray *controls)
{
	g_auto(GStrv) names = g_key_file_get_keys(keys, REPLICAS_GROUP, NULL, NULL);
	cw_status_t status = CW_OK;

	if (!names || !names[0])
		return cw_fail(CW_ERR_SETTINGS, "%s: [" REPLICAS_GROUP "] is missing; list each replica",
			       file);
	for (size_t i = 0; names[i] && status == CW_OK; i++)
		status = add_control(file, keys, names[i], controls);
	if (status == CW_OK && controls->len > MAX_CONTROLS)
		status =
			cw_fail(CW_ERR_SETTINGS, "%s: [" REPLICAS_GROUP "] lists %u replicas; use at most %d",
				file, controls->len, MAX_CONTROLS);
	return status;
}

/* Checks what the keys of a control replica say together, and fills its address. */
static cw_status_t check_control(const char *file, settings_t *settings)
{
	control_settings_t *control = &settings->control;
	const char *own = find_control(settings->controls, control->id);

	if (!own)
		return cw_fail(CW_ERR_SETTINGS,
			       "%s: [control] id = %u has no line in [" REPLICAS_GROUP "]; add it", file,
			       control->id);
	if (*control->listen == '\0') {
		g_free(control->listen);
		control->listen = g_strdup(own);
	}
	if (control->leader_lease_ms >= control->election_ms)
		return cw_fail(CW_ERR_SETTINGS,
			       "%s: [control] leader-lease-ms = %u must be less than election-ms = %u", file,
			       control->leader_lease_ms, control->election_ms);
	if (control->heartbeat_ms * 2 >= control->leader_lease_ms)
		return cw_fail(
			CW_ERR_SETTINGS,
			"%s: [control] heartbeat-ms = %u must be less than half of leader-lease-ms = %u",
			file, control->heartbeat_ms, control->leader_lease_ms);
	return CW_OK;
}

/* Checks what the keys of a proxy say together. */
static cw_status_t check_proxy(const char *file, const settings_t *settings)
{
	const proxy_settings_t *proxy = &settings->proxy;

	if (proxy->hold_ms * 2 > proxy->freshness_ms)
		return cw_fail(CW_ERR_SETTINGS,
			       "%s: [proxy] hold-ms = %u must be at most half of freshness-ms = %u", file,
			       proxy->hold_ms, proxy->freshness_ms);
	return CW_OK;
}

/* Checks what several keys say together. */
static cw_status_t check_together(const char *file, settings_t *settings)
{
	switch (settings->role) {
	case ROLE_CONTROL:
		return check_control(file, settings);
	case ROLE_PROXY:
		return check_proxy(file, settings);
	}
	return CW_OK;
}

/* Fills settings from an opened file. */
static cw_status_t load_all(const char *file, GKeyFile *keys, settings_t *settings)
{
	const rule_set_t process = {process_rules, G_N_ELEMENTS(process_rules)};
	cw_status_t status = load_rules(file, keys, process, settings);

	if (status == CW_OK)
		status = refuse_unknown(file, keys, settings->role);
	if (status == CW_OK)
		status = load_controls(file, keys, settings->controls);
	if (status == CW_OK)
		status = load_rules(file, keys, role_rules(settings->role), settings);
	if (status == CW_OK)
		status = check_together(file, settings);
	return status;
}

/* Makes an empty list of control replicas. */
static GArray *controls_new(void)
{
	GArray *controls = g_array_new(FALSE, TRUE, sizeof(control_address_t));

	g_array_set_clear_func(controls, control_address_clear);
	return controls;
}

/*
 * Reads a daemon's settings file.  The caller frees *settings with
 * settings_free().  CW_ERR_SETTINGS names file, section and key; nothing but
 * the file has been touched.
 */
cw_status_t settings_load(const char *file, settings_t **settings)
{
	g_autoptr(GKeyFile) keys = NULL;
	cw_status_t status = ini_load(file, &keys);

	if (status != CW_OK)
		return status;

	settings_t *loaded = g_new0(settings_t, 1);
	loaded->controls = controls_new();
	status = load_all(file, keys, loaded);
	if (status == CW_OK)
		*settings = loaded;
	else
		settings_free(loaded);
	return status;
}

/*
 * Reads only the list of control replicas of a settings file, for programs
 * that talk to them.  The caller frees *controls with g_array_unref().
 */
cw_status_t settings_load_controls(const char *file, GArray **controls)
{
	g_autoptr(GKeyFile) keys = NULL;
	g_autoptr(GArray) loaded = controls_new();
	cw_status_t status = ini_load(file, &keys);

	if (status == CW_OK)
		status = load_controls(file, keys, loaded);
	if (status == CW_OK)
		*controls = g_steal_pointer(&loaded);
	return status;
}

/* Frees settings; NULL is allowed. */
void settings_free(settings_t *settings)
{
	if (!settings)
		return;
	g_array_unref(settings->controls);
	g_free(settings->log_level);
	g_free(settings->control.listen);
	g_free(settings->control.data_folder);
	g_free(settings->proxy.vm);
	g_free(settings->proxy.zone);
	g_free(settings->proxy.region);
	g_free(settings->proxy.service);
	g_free(settings->proxy.listen);
	g_free(settings->proxy.call_listen);
	g_free(settings->proxy.feed_listen);
	g_free(settings->proxy.target);
	g_free(settings);
}
