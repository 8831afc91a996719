/* Judges relays by what can be seen from outside. */
#include "relay_observer.h"

#include <string.h>

typedef struct {
	char *parent; /* last pulled from */
	int64_t since_us;
	uint64_t term;
	uint64_t sequence;
	int64_t fresh_us; /* when a newer stamp was last sent to it */
} watched_t;

/* Frees what is known of a process. */
static void watched_free(void *data)
{
	g_free(((watched_t *)data)->parent);
	g_free(data);
}

/* Notes a violation once for each text. */
static void violate(observer_t *observer, char *text)
{
	for (guint i = 0; i < observer->violations->len; i++) {
		if (g_str_equal(g_ptr_array_index(observer->violations, i), text)) {
			g_free(text);
			return;
		}
	}
	g_ptr_array_add(observer->violations, text);
}

/* Returns the position of an item named "s3" or "r3"; OBSERVER_ITEMS for another name. */
static size_t item_of(const char *name)
{
	size_t item = (size_t)(name[1] - '0');

	return item < OBSERVER_ITEMS ? item : OBSERVER_ITEMS;
}

/* Checks that every route leads to a service that the configuration has. */
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
			violate(observer, g_strdup_printf("%s: route %s dangles", node->name, route->name));
	}
}

/* Checks that a configuration is exactly what its version holds. */
static void check_whole(observer_t *observer, const net_node_t *node, const cw_config_t *config,
			uint64_t version)
{
	observer_version_t seen = {{0}};
	observer_version_t expected = {{0}};
	guint routes = 0;

	if (version < observer->versions->len)
		expected = g_array_index(observer->versions, observer_version_t, version);
	for (guint i = 0; i < config->services->len; i++) {
		const Caraway__Service *service = g_ptr_array_index(config->services, i);

		if (item_of(service->name) < OBSERVER_ITEMS)
			seen.items[item_of(service->name)] = service->timeout_ms;
	}
	for (guint i = 0; i < config->routes->len; i++)
		routes += expected.items[item_of(
				  ((Caraway__Route *)g_ptr_array_index(config->routes, i))->name)] > 0;
	if (memcmp(&seen, &expected, sizeof(seen)) != 0 || routes != config->services->len)
		violate(observer, g_strdup_printf("%s: version %" G_GUINT64_FORMAT " is not whole",
						  node->name, version));
}

/* Takes a configuration that a proxy uses from now on. */
static void on_use(void *data, const net_node_t *node, const cw_config_t *config, int64_t now_us)
{
	observer_t *observer = data;
	uint64_t *highest = g_hash_table_lookup(observer->highest, node->name);

	(void)now_us;
	if (!highest) {
		highest = g_new0(uint64_t, 1);
		g_hash_table_insert(observer->highest, g_strdup(node->name), highest);
	}
	if (node->used_version < *highest)
		violate(observer, g_strdup_printf("%s: version went back", node->name));
	*highest = MAX(*highest, node->used_version);
	check_routes(observer, node, config);
	check_whole(observer, node, config, node->used_version);
}

/* Takes the start of a process. */
static void on_start(void *data, const net_node_t *node, int64_t now_us)
{
	observer_t *observer = data;
	watched_t *watched = g_new0(watched_t, 1);

	watched->since_us = watched->fresh_us = now_us;
	g_hash_table_replace(observer->watched, g_strdup(node->name), watched);
}

/* Takes a pull: the process that sends it still has this parent. */
static void on_pull(observer_t *observer, const net_node_t *from, const net_node_t *to, int64_t now_us)
{
	watched_t *watched = g_hash_table_lookup(observer->watched, from->name);

	if (g_strcmp0(watched->parent, to->name) != 0) {
		g_free(watched->parent);
		watched->parent = g_strdup(to->name);
		watched->since_us = now_us;
	}
	if (now_us - MAX(watched->since_us, watched->fresh_us) > observer->parent_bound_us)
		violate(observer, g_strdup_printf("%s: keeps a stale parent", from->name));
}

/* Takes the end of a connection: another pull to the same parent is a new beginning. */
static void on_leave(void *data, const net_node_t *node)
{
	watched_t *watched = g_hash_table_lookup(((observer_t *)data)->watched, node->name);

	g_free(watched->parent);
	watched->parent = NULL;
}

/* Takes a message that is put on its way. */
static void on_message(void *data, const net_node_t *from, const net_node_t *to,
		       const Caraway__Message *message, bool delivered, int64_t now_us)
{
	observer_t *observer = data;
	watched_t *watched;
	const Caraway__Stamp *stamp;

	if (message->body_case == CARAWAY__MESSAGE__BODY_PULL && !from->control)
		on_pull(observer, from, to, now_us);
	if (message->body_case != CARAWAY__MESSAGE__BODY_NEWS || !delivered || !message->news->stamp)
		return;
	watched = g_hash_table_lookup(observer->watched, to->name);
	stamp = message->news->stamp;
	if (stamp->term < watched->term ||
	    (stamp->term == watched->term && stamp->sequence <= watched->sequence))
		return;
	watched->term = stamp->term;
	watched->sequence = stamp->sequence;
	watched->fresh_us = now_us;
}

observer_t *observer_new(int64_t parent_bound_us)
{
	observer_t *observer = g_new0(observer_t, 1);

	observer->versions = g_array_new(FALSE, TRUE, sizeof(observer_version_t));
	observer->highest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	observer->watched = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, watched_free);
	observer->violations = g_ptr_array_new_with_free_func(g_free);
	observer->parent_bound_us = parent_bound_us;
	return observer;
}

void observer_free(observer_t *observer)
{
	if (!observer)
		return;
	g_array_unref(observer->versions);
	g_hash_table_unref(observer->highest);
	g_hash_table_unref(observer->watched);
	g_ptr_array_unref(observer->violations);
	g_free(observer);
}

net_watch_t observer_watch(observer_t *observer)
{
	return (net_watch_t){
		.data = observer, .use = on_use, .start = on_start, .message = on_message, .leave = on_leave};
}

void observer_add_version(observer_t *observer, const observer_version_t *version)
{
	g_array_append_vals(observer->versions, version, 1);
}
