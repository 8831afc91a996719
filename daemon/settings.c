/* Settings of a daemon, read from one INI file and validated as a whole. */
#include "settings.h"

#include <string.h>

#include "ini.h"
#include "settings_controls.h"
#include "settings_rules.h"

/* Fails for one key of a file. */
static cw_status_t bad_value(const char *file, const char *group, const char *key, const char *value,
			     const char *wanted)
{
	return cw_fail(CW_ERR_SETTINGS, "%s: [%s] %s = \"%s\": %s", file, group, key, value, wanted);
}

/* Reads one key of the file into the settings. */
static cw_status_t load_rule(const char *file, GKeyFile *keys, const rule_t *rule, settings_t *settings)
{
	g_autofree char *value = g_key_file_get_string(keys, rule->group, rule->key, NULL);

	if (!value && !rule->fallback)
		return cw_fail(CW_ERR_SETTINGS, "%s: [%s] %s is missing; add it", file, rule->group,
			       rule->key);
	if (value && *value == '\0' && rule->kind != VALUE_NAME && rule->kind != VALUE_HEADER)
		return bad_value(file, rule->group, rule->key, value, "must not be empty");

	const char *wanted = rules_store(settings, rule, value ? value : rule->fallback);
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

/* Refuses keys of one section that no rule names. */
static cw_status_t refuse_unknown_keys(const char *file, GKeyFile *keys, const char *group, rule_set_t set)
{
	g_auto(GStrv) names = g_key_file_get_keys(keys, group, NULL, NULL);

	for (size_t i = 0; names && names[i]; i++)
		if (!rules_has(set, group, names[i]))
			return cw_fail(CW_ERR_SETTINGS, "%s: [%s] %s is not a known key; remove it", file,
				       group, names[i]);
	return CW_OK;
}

/* Sections that have a reader of their own. */
static const char *const groups_read_elsewhere[] = {REPLICAS_GROUP, "keys", "operators", NULL};

/* Refuses sections and keys that no rule for this role names. */
static cw_status_t refuse_unknown(const char *file, GKeyFile *keys, role_t role)
{
	const rule_set_t process = rules_process();
	const rule_set_t own = rules_role(role);
	g_auto(GStrv) groups = g_key_file_get_groups(keys, NULL);
	cw_status_t status = CW_OK;

	for (size_t i = 0; groups[i] && status == CW_OK; i++) {
		if (g_strv_contains(groups_read_elsewhere, groups[i]))
			continue;
		if (rules_has(process, groups[i], NULL))
			status = refuse_unknown_keys(file, keys, groups[i], process);
		else if (rules_has(own, groups[i], NULL))
			status = refuse_unknown_keys(file, keys, groups[i], own);
		else
			status = cw_fail(CW_ERR_SETTINGS, "%s: [%s] is not a section of this role; remove it",
					 file, groups[i]);
	}
	return status;
}

/* Checks what the keys of a control replica say together, and fills its address. */
static cw_status_t check_control(const char *file, settings_t *settings)
{
	control_settings_t *control = &settings->control;
	const char *own;

	if (!control->id)
		control->id = controls_id_of(control->listen);
	own = controls_find(settings->controls, control->id);
	/* Seeds are some of the replicas only: one that is none of them says where it listens. */
	if (!own && !(controls_are_seeds(settings->controls) && *control->listen))
		return cw_fail(CW_ERR_SETTINGS,
			       "%s: [control] id = %u has no line in [" REPLICAS_GROUP "]; add it", file,
			       control->id);
	if (own && !*control->listen) {
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

/* Checks that the secret key is that of the role. */
static cw_status_t check_keys(const char *file, const settings_t *settings)
{
	const keys_t *keys = settings->keys;
	const char *wanted = settings->role == ROLE_CONTROL ? keys->control_public : keys->proxy_public;

	if (keys->insecure || strcmp(keys->public_key, wanted) == 0)
		return CW_OK;
	return cw_fail(CW_ERR_SETTINGS,
		       "%s: [keys] secret-file does not belong to the public key of this role", file);
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
	const rule_set_t process = rules_process();
	cw_status_t status = load_rules(file, keys, process, settings);

	if (status == CW_OK)
		status = refuse_unknown(file, keys, settings->role);
	if (status == CW_OK)
		status = controls_load(file, keys, settings->controls);
	if (status == CW_OK)
		status = load_rules(file, keys, rules_role(settings->role), settings);
	if (status == CW_OK)
		status = keys_load(file, keys, &settings->keys);
	if (status == CW_OK)
		status = check_keys(file, settings);
	if (status == CW_OK)
		status = check_together(file, settings);
	return status;
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
	loaded->control_addresses = controls_addresses(loaded->controls);
	if (status == CW_OK)
		*settings = loaded;
	else
		settings_free(loaded);
	return status;
}

/* Frees settings; NULL is allowed. */
void settings_free(settings_t *settings)
{
	if (!settings)
		return;
	g_ptr_array_unref(settings->control_addresses);
	g_array_unref(settings->controls);
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
	g_free(settings->proxy.headers.target_id);
	g_free(settings);
}
