/* Checks invariants of relays from their externally visible behaviour. */
#include "relay_observer.h"

#include <string.h>

enum {
	US_PER_MS = 1000,
	/* An older configuration must not count as the newest for longer; a platform allows as much to apply one. */
	MAX_CURRENT_US = 2000 * US_PER_MS
};

typedef struct {
	char *parent; /* last parent that it sent a pull to */
	int64_t parent_since_us;
	uint64_t term;		/* of the newest stamp sent to it */
	uint64_t sequence;	/* of the same stamp */
	int64_t newer_stamp_us; /* when that stamp was sent, or the process started */
} process_state_t;

/* Frees the state of a process. */
static void process_state_free(void *data)
{
	g_free(((process_state_t *)data)->parent);
	g_free(data);
}

/* Adds a violation unless one with the same text exists; takes ownership of the text. */
static void add_violation(observer_t *observer, char *text)
{
	for (guint i = 0; i < observer->violations->len; i++) {
		if (g_str_equal(g_ptr_array_index(observer->violations, i), text)) {
			g_free(text);
			return;
		}
	}
	g_ptr_array_add(observer->violations, text);
}

/* Returns the index of an item by its service ("s3") or route ("r3"); OBSERVER_ITEMS if there is none. */
static size_t item_index(const char *name)
{
	size_t item = (size_t)(name[1] - '0');

	return item < OBSERVER_ITEMS ? item : OBSERVER_ITEMS;
}

/* Checks that the configuration has the service of every route. */
static void check_routes(observer_t *observer, const net_node_t *node, const cw_config_t *config)
{
	for (guint i = 0; i < config->routes->len; i++) {
		const Caraway__Route *route = g_ptr_array_index(config->routes, i);
		bool found = false;

		for (guint j = 0; j < config->services->len && !found; j++)
			found = !strcmp(
				((const Caraway__Service *)g_ptr_array_index(config->services, j))->name,
				route->service);
		if (!found)
			add_violation(observer, g_strdup_printf("%s: route %s refers to a missing service",
								node->name, route->name));
	}
}

/* Checks that a configuration has exactly the content of its version. */
static void check_content(observer_t *observer, const net_node_t *node, const cw_config_t *config,
			  uint64_t version)
{
	observer_version_t seen = {{0}};
	observer_version_t expected = {{0}};
	guint routes = 0;

	if (version < observer->versions->len)
		expected = g_array_index(observer->versions, observer_version_t, version);
	for (guint i = 0; i < config->services->len; i++) {
		const Caraway__Service *service = g_ptr_array_index(config->services, i);

		if (item_index(service->name) < OBSERVER_ITEMS)
			seen.items[item_index(service->name)] = service->timeout_ms;
	}
	for (guint i = 0; i < config->routes->len; i++)
		routes += expected.items[item_index(
				  ((Caraway__Route *)g_ptr_array_index(config->routes, i))->name)] > 0;
	if (memcmp(&seen, &expected, sizeof(seen)) != 0 || routes != config->services->len)
		add_violation(observer, g_strdup_printf("%s: version %" G_GUINT64_FORMAT
							" differs from the expected content",
							node->name, version));
}

/* Checks a configuration that a proxy starts to use. */
static void on_config_used(void *data, const net_node_t *node, const cw_config_t *config, int64_t now_us)
{
	observer_t *observer = data;
	uint64_t *highest = g_hash_table_lookup(observer->highest_versions, node->name);

	(void)now_us;
	if (!highest) {
		highest = g_new0(uint64_t, 1);
		g_hash_table_insert(observer->highest_versions, g_strdup(node->name), highest);
	}
	if (node->used_version < *highest)
		add_violation(observer, g_strdup_printf("%s: version went back", node->name));
	*highest = MAX(*highest, node->used_version);
	check_routes(observer, node, config);
	check_content(observer, node, config, node->used_version);
}

/* Resets the state of a proxy or replica whose process starts. */
static void on_process_started(void *data, const net_node_t *node, int64_t now_us)
{
	observer_t *observer = data;
	process_state_t *process = g_new0(process_state_t, 1);

	process->parent_since_us = process->newer_stamp_us = now_us;
	g_hash_table_replace(observer->processes, g_strdup(node->name), process);
}

/* Records the parent to which a proxy sends a pull, and checks that it is not stale. */
static void on_pull(observer_t *observer, const net_node_t *from, const net_node_t *to, int64_t now_us)
{
	process_state_t *process = g_hash_table_lookup(observer->processes, from->name);

	if (g_strcmp0(process->parent, to->name) != 0) {
		g_free(process->parent);
		process->parent = g_strdup(to->name);
		process->parent_since_us = now_us;
	}
	if (now_us - MAX(process->parent_since_us, process->newer_stamp_us) > observer->max_stale_us)
		add_violation(observer, g_strdup_printf("%s: keeps a stale parent", from->name));
}

/* Forgets the parent of a proxy: a later pull to the same address counts as a new parent. */
static void on_disconnected(void *data, const net_node_t *node)
{
	process_state_t *process = g_hash_table_lookup(((observer_t *)data)->processes, node->name);

	g_free(process->parent);
	process->parent = NULL;
}

/* Checks that a proxy does not count its configuration as the newest long after another was put in force. */
static void check_current(observer_t *observer, const net_node_t *node, int64_t now_us)
{
	uint64_t next = node->used_version + 1;

	if (!node->used_version || next >= observer->versions->len ||
	    cw_relay_current_until_ms(node->relay) * US_PER_MS <= now_us)
		return;
	if (now_us - g_array_index(observer->version_times_us, int64_t, next) > MAX_CURRENT_US)
		add_violation(observer,
			      g_strdup_printf("%s: takes an old version for the newest", node->name));
}

/*
 * Checks that a proxy does not date the confirmation of its configuration after another one was put in force: the
 * lease of withdrawn keys would end too late.
 */
static void check_confirmed(observer_t *observer, const net_node_t *node)
{
	uint64_t next = node->used_version + 1;

	if (node->used_version && next < observer->versions->len &&
	    cw_relay_confirmed_ms(node->relay) * US_PER_MS >
		    g_array_index(observer->version_times_us, int64_t, next))
		add_violation(observer,
			      g_strdup_printf("%s: confirms a version after the next one", node->name));
}

/* Processes a sent message: a pull of a proxy, or an update that carries a stamp. */
static void on_message_sent(void *data, const net_node_t *from, const net_node_t *to,
			    const Caraway__Message *message, bool delivered, int64_t now_us)
{
	observer_t *observer = data;
	process_state_t *process;
	const Caraway__Stamp *stamp;

	if (!from->is_control_replica && from->relay) {
		check_current(observer, from, now_us);
		check_confirmed(observer, from);
	}
	if (message->body_case == CARAWAY__MESSAGE__BODY_PULL && !from->is_control_replica)
		on_pull(observer, from, to, now_us);
	if (message->body_case != CARAWAY__MESSAGE__BODY_NEWS || !delivered || !message->news->stamp)
		return;
	process = g_hash_table_lookup(observer->processes, to->name);
	stamp = message->news->stamp;
	if (stamp->term < process->term ||
	    (stamp->term == process->term && stamp->sequence <= process->sequence))
		return;
	process->term = stamp->term;
	process->sequence = stamp->sequence;
	process->newer_stamp_us = now_us;
}

observer_t *observer_new(int64_t max_stale_us)
{
	observer_t *observer = g_new0(observer_t, 1);

	observer->versions = g_array_new(FALSE, TRUE, sizeof(observer_version_t));
	observer->version_times_us = g_array_new(FALSE, TRUE, sizeof(int64_t));
	observer->highest_versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	observer->processes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, process_state_free);
	observer->violations = g_ptr_array_new_with_free_func(g_free);
	observer->max_stale_us = max_stale_us;
	return observer;
}

void observer_free(observer_t *observer)
{
	if (!observer)
		return;
	g_array_unref(observer->versions);
	g_array_unref(observer->version_times_us);
	g_hash_table_unref(observer->highest_versions);
	g_hash_table_unref(observer->processes);
	g_ptr_array_unref(observer->violations);
	g_free(observer);
}

net_callbacks_t observer_callbacks(observer_t *observer)
{
	return (net_callbacks_t){.data = observer,
				 .config_used = on_config_used,
				 .process_started = on_process_started,
				 .message_sent = on_message_sent,
				 .disconnected = on_disconnected};
}

void observer_add_version(observer_t *observer, const observer_version_t *version, int64_t now_us)
{
	g_array_append_val(observer->version_times_us, now_us);
	g_array_append_vals(observer->versions, version, 1);
}
