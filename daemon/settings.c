/* Settings of a daemon, read from one INI file and validated as a whole. */
#include "settings.h"

#include <string.h>

#include "ini.h"
#include "settings_replicas.h"
#include "settings_rules.h"

/* Reports an invalid value of one key of a file. */
static cw_status_t invalid_value(const char *file, const char *group, const char *key, const char *value,
				 const char *expected)
{
	return cw_fail(CW_ERR_SETTINGS, "%s: [%s] %s = \"%s\": %s", file, group, key, value, expected);
}

/* Reads one key of the file into the settings, or its default when the file lacks the key. */
static cw_status_t load_value(const char *file, GKeyFile *ini, const rule_t *rule, settings_t *settings)
{
	g_autofree char *value = g_key_file_get_string(ini, rule->group, rule->key, NULL);

	if (!value && !rule->default_value)
		return cw_fail(CW_ERR_SETTINGS, "%s: [%s] %s is missing; add it", file, rule->group,
			       rule->key);
	if (value && *value == '\0' && rule->kind != VALUE_NAME && rule->kind != VALUE_HEADER)
		return invalid_value(file, rule->group, rule->key, value, "must not be empty");

	const char *expected = rule_parse_value(settings, rule, value ? value : rule->default_value);
	if (!expected)
		return CW_OK;
	if (rule->kind != VALUE_NUMBER)
		return invalid_value(file, rule->group, rule->key, value, expected);
	return cw_fail(CW_ERR_SETTINGS, "%s: [%s] %s = \"%s\": give a whole number from %u to %u", file,
		       rule->group, rule->key, value, rule->min, rule->max);
}

/* Reads every key that a rule set describes. */
static cw_status_t load_values(const char *file, GKeyFile *ini, rule_set_t set, settings_t *settings)
{
	for (size_t i = 0; i < set.count; i++) {
		cw_status_t status = load_value(file, ini, &set.rules[i], settings);
		if (status != CW_OK)
			return status;
	}
	return CW_OK;
}

/* Rejects keys of one section that the rule set does not contain. */
static cw_status_t reject_unknown_keys(const char *file, GKeyFile *ini, const char *group, rule_set_t set)
{
	g_auto(GStrv) names = g_key_file_get_keys(ini, group, NULL, NULL);

	for (size_t i = 0; names && names[i]; i++)
		if (!rules_contain(set, group, names[i]))
			return cw_fail(CW_ERR_SETTINGS, "%s: [%s] %s is not a known key; remove it", file,
				       group, names[i]);
	return CW_OK;
}

/* Sections that rule sets do not cover: their entries are read by other functions. */
static const char *const groups_without_rules[] = {REPLICAS_GROUP, "keys", "operators", NULL};

/* Rejects sections and keys that are not settings of this role. */
static cw_status_t reject_unknown(const char *file, GKeyFile *ini, role_t role)
{
	const rule_set_t process_rules = rules_for_process();
	const rule_set_t role_rules = rules_for_role(role);
	g_auto(GStrv) groups = g_key_file_get_groups(ini, NULL);
	cw_status_t status = CW_OK;

	for (size_t i = 0; groups[i] && status == CW_OK; i++) {
		if (g_strv_contains(groups_without_rules, groups[i]))
			continue;
		if (rules_contain(process_rules, groups[i], NULL))
			status = reject_unknown_keys(file, ini, groups[i], process_rules);
		else if (rules_contain(role_rules, groups[i], NULL))
			status = reject_unknown_keys(file, ini, groups[i], role_rules);
		else
			status = cw_fail(CW_ERR_SETTINGS, "%s: [%s] is not a section of this role; remove it",
					 file, groups[i]);
	}
	return status;
}

/* Checks the settings of a control replica against each other; fills in its id and address when unset. */
static cw_status_t check_control(const char *file, settings_t *settings)
{
	control_settings_t *control = &settings->control;
	const char *own_address;

	if (!control->id)
		control->id = replica_id_from_address(control->listen);
	own_address = replica_list_find(settings->control_replicas, control->id);
	/* Seeds are only some of the replicas: a replica that is not a seed must set its listen address. */
	if (!own_address && !(replica_list_has_seeds(settings->control_replicas) && *control->listen))
		return cw_fail(CW_ERR_SETTINGS,
			       "%s: [control] id = %u has no line in [" REPLICAS_GROUP "]; add it", file,
			       control->id);
	if (own_address && !*control->listen) {
		g_free(control->listen);
		control->listen = g_strdup(own_address);
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

/* Checks the settings of a proxy against each other. */
static cw_status_t check_proxy(const char *file, const settings_t *settings)
{
	const proxy_settings_t *proxy = &settings->proxy;

	if (proxy->hold_ms * 2 > proxy->freshness_ms)
		return cw_fail(CW_ERR_SETTINGS,
			       "%s: [proxy] hold-ms = %u must be at most half of freshness-ms = %u", file,
			       proxy->hold_ms, proxy->freshness_ms);
	return CW_OK;
}

/* Checks that the secret key matches the public key of the role. */
static cw_status_t check_secret_key(const char *file, const settings_t *settings)
{
	const keys_t *keys = settings->keys;
	const char *expected = settings->role == ROLE_CONTROL ? keys->control_public : keys->proxy_public;

	if (keys->insecure || strcmp(keys->public_key, expected) == 0)
		return CW_OK;
	return cw_fail(CW_ERR_SETTINGS,
		       "%s: [keys] secret-file does not belong to the public key of this role", file);
}

/* Checks constraints between several settings. */
static cw_status_t check_combinations(const char *file, settings_t *settings)
{
	switch (settings->role) {
	case ROLE_CONTROL:
		return check_control(file, settings);
	case ROLE_PROXY:
		return check_proxy(file, settings);
	}
	return CW_OK;
}

/* Fills settings from a parsed file. */
static cw_status_t load_all(const char *file, GKeyFile *ini, settings_t *settings)
{
	const rule_set_t process_rules = rules_for_process();
	cw_status_t status = load_values(file, ini, process_rules, settings);

	if (status == CW_OK)
		status = reject_unknown(file, ini, settings->role);
	if (status == CW_OK)
		status = replica_list_load(file, ini, settings->control_replicas);
	if (status == CW_OK)
		status = load_values(file, ini, rules_for_role(settings->role), settings);
	if (status == CW_OK)
		status = keys_load(file, ini, &settings->keys);
	if (status == CW_OK)
		status = check_secret_key(file, settings);
	if (status == CW_OK)
		status = check_combinations(file, settings);
	return status;
}

/*
 * Reads a daemon's settings file.  The caller frees *settings with
 * settings_free().  Returns CW_ERR_SETTINGS, with a message that names the
 * file, section and key, when a setting is invalid.  Has no side effects:
 * only the settings file and the secret key file are read.
 */
cw_status_t settings_load(const char *file, settings_t **settings)
{
	g_autoptr(GKeyFile) ini = NULL;
	cw_status_t status = ini_load(file, &ini);

	if (status != CW_OK)
		return status;

	settings_t *loaded = g_new0(settings_t, 1);
	loaded->control_replicas = replica_list_new();
	status = load_all(file, ini, loaded);
	loaded->control_addresses = replica_list_addresses(loaded->control_replicas);
	if (status == CW_OK)
		*settings = loaded;
	else
		settings_free(loaded);
	return status;
}

enum {
	BYTES_PER_MB = 1 << 20,
	PERCENT = 100,
	MAX_ANSWER_BYTES =
		16 << 20 /* longer answers do not fit into the send queue of a connection between proxies */
};

/* Returns the limit of the account of waiting bytes. */
size_t settings_waiting_memory(const proxy_settings_t *settings)
{
	return (size_t)settings->memory_mb * BYTES_PER_MB / PERCENT * settings->waiting_memory_percent;
}

/*
 * Returns the bytes for the body of one answer.  It is held up to three times at once: as received, unpacked, and
 * as sent.
 */
size_t settings_answer_memory(const proxy_settings_t *settings)
{
	return MIN(settings_body_memory(settings), MAX_ANSWER_BYTES);
}

/* Returns the bytes for the bodies of requests: a part of the memory, as each body is held several times on its way. */
size_t settings_body_memory(const proxy_settings_t *settings)
{
	enum { BODY_MEMORY_DIVISOR = 8 };

	return (size_t)settings->memory_mb * BYTES_PER_MB / BODY_MEMORY_DIVISOR;
}

/* Frees settings; NULL is allowed. */
void settings_free(settings_t *settings)
{
	if (!settings)
		return;
	g_ptr_array_unref(settings->control_addresses);
	g_array_unref(settings->control_replicas);
	keys_free(settings->keys);
	g_free(settings->log_level);
	g_free(settings->control.listen);
	g_free(settings->control.data_folder);
	g_free(settings->control.operator_listen);
	g_free(settings->control.operator_name);
	g_free(settings->control.approval);
	g_free(settings->proxy.vm);
	g_free(settings->proxy.zone);
	g_free(settings->proxy.region);
	g_free(settings->proxy.service);
	g_free(settings->proxy.listen);
	g_free(settings->proxy.call_listen);
	g_free(settings->proxy.feed_listen);
	g_free(settings->proxy.call_announce);
	g_free(settings->proxy.feed_announce);
	g_free(settings->proxy.target);
	g_free(settings->proxy.target_listen);
	g_free(settings->proxy.ready_listen);
	g_free(settings->metrics_listen);
	g_free(settings->proxy.headers.deadline);
	g_free(settings->proxy.headers.request_id);
	g_free(settings->proxy.headers.caller_service);
	g_free(settings->proxy.headers.expected_target);
	g_free(settings->proxy.headers.not_executed);
	g_free(settings->proxy.headers.account_key);
	g_free(settings->proxy.headers.account);
	g_free(settings->proxy.headers.target_id);
	g_free(settings);
}
