/* Views: the configuration and endpoints that calls use, published under RCU. */
#include "view.h"

#include <sodium.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/urcu-memb.h>

enum { KEY_SALT_WORDS = 2 };

/* The salt of digests of keys. */
typedef struct {
	uint64_t words[KEY_SALT_WORDS];
} key_salt_t;

/* State of a view under construction. */
typedef struct {
	const cw_catalog_t *catalog; /* holds the labels of the VMs */
	const cw_config_t *config;
	GPtrArray *endpoints; /* Caraway__Endpoint *, borrowed */
	GHashTable *groups;   /* "SERVICE TARGET" -> view_group_t */
} view_builder_t;

/* Returns the set of services that receive calls by some route; the names are borrowed. */
static GHashTable *routed_services(const cw_config_t *config)
{
	GHashTable *services = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < config->routes->len; i++) {
		const Caraway__Route *route = g_ptr_array_index(config->routes, i);

		g_hash_table_add(services, route->service);
		for (size_t j = 0; j < route->n_splits; j++)
			g_hash_table_add(services, route->splits[j]->service);
	}
	return services;
}

/* Returns the endpoints that some route leads to; they are borrowed. */
static GPtrArray *routed_endpoints(const cw_config_t *config, const GPtrArray *endpoints)
{
	g_autoptr(GHashTable) services = routed_services(config);
	GPtrArray *routed = g_ptr_array_new();

	for (guint i = 0; i < endpoints->len; i++) {
		Caraway__Endpoint *endpoint = g_ptr_array_index(endpoints, i);

		if (endpoint->state != CARAWAY__ENDPOINT_STATE__ENDPOINT_GONE && *endpoint->call_address &&
		    g_hash_table_contains(services, endpoint->service))
			g_ptr_array_add(routed, endpoint);
	}
	return routed;
}

/* Copies an endpoint into a view. */
static void copy_endpoint(view_endpoint_t *copy, const Caraway__Endpoint *endpoint)
{
	copy->vm = g_strdup(endpoint->vm);
	copy->zone = g_strdup(endpoint->zone);
	copy->region = g_strdup(endpoint->region);
	copy->service = g_strdup(endpoint->service);
	copy->call_address = g_strdup(endpoint->call_address);
	copy->incarnation = endpoint->incarnation;
	copy->slots = endpoint->slots;
	copy->target_version = g_strdup(endpoint->target_version);
	copy->draining = endpoint->state == CARAWAY__ENDPOINT_STATE__ENDPOINT_DRAINING;
}

/* Returns the target with this name, or NULL. */
static const Caraway__Target *find_target(const cw_config_t *config, const char *name)
{
	for (guint i = 0; i < config->targets->len; i++) {
		const Caraway__Target *target = g_ptr_array_index(config->targets, i);

		if (!strcmp(target->name, name))
			return target;
	}
	return NULL;
}

/* Returns the configured service with this name, or NULL. */
static const Caraway__Service *find_service(const cw_config_t *config, const char *name)
{
	for (guint i = 0; i < config->services->len; i++) {
		const Caraway__Service *service = g_ptr_array_index(config->services, i);

		if (!strcmp(service->name, name))
			return service;
	}
	return NULL;
}

/* Returns the timeout of a service in milliseconds; 0: the default of the proxy applies. */
static uint32_t service_timeout_ms(const cw_config_t *config, const char *name)
{
	const Caraway__Service *service = find_service(config, name);

	return service ? service->timeout_ms : 0;
}

/* Returns whether a selector matches an endpoint's VM; one without a record is matched without labels. */
static bool endpoint_matches(const view_builder_t *builder, const cw_selector_t *selector,
			     const Caraway__Endpoint *endpoint)
{
	const Caraway__Vm *recorded = cw_catalog_vm(builder->catalog, endpoint->vm);
	Caraway__Vm vm = CARAWAY__VM__INIT;

	if (recorded)
		return cw_selector_match(selector, recorded);
	vm.name = endpoint->vm;
	vm.zone = endpoint->zone;
	vm.region = endpoint->region;
	vm.service = endpoint->service;
	return cw_selector_match(selector, &vm);
}

/* Returns the selector of a target, NULL for all endpoints; *unusable is set when it can select none. */
static cw_selector_t *target_selector(const view_builder_t *builder, const char *service, const char *name,
				      bool *unusable)
{
	const Caraway__Target *target;
	cw_selector_t *selector = NULL;

	*unusable = false;
	if (!*name)
		return NULL;
	target = find_target(builder->config, name);
	*unusable = !target || strcmp(target->service, service) != 0 ||
		    cw_selector_parse(target->selector, &selector) != CW_OK;
	return selector;
}

/* Creates the group of a service's endpoints; a target that is not empty selects among them. */
static view_group_t *group_new(const view_builder_t *builder, const char *service, const char *target)
{
	view_group_t *group = g_new0(view_group_t, 1);
	bool unusable;
	cw_selector_t *selector = target_selector(builder, service, target, &unusable);

	group->service = g_strdup(service);
	group->endpoint_indexes = g_new0(uint32_t, builder->endpoints->len + 1);
	for (guint i = 0; i < builder->endpoints->len && !unusable; i++) {
		const Caraway__Endpoint *endpoint = g_ptr_array_index(builder->endpoints, i);

		if (!strcmp(endpoint->service, service) &&
		    (!selector || endpoint_matches(builder, selector, endpoint)))
			group->endpoint_indexes[group->endpoint_count++] = i;
	}
	if (selector)
		cw_selector_free(selector);
	return group;
}

/* Returns the group of a service and target; creates it on first use. */
static const view_group_t *get_group(view_builder_t *builder, const char *service, const char *target)
{
	char *key = g_strconcat(service, " ", target, NULL);
	view_group_t *group = g_hash_table_lookup(builder->groups, key);

	if (group) {
		g_free(key);
		return group;
	}
	group = group_new(builder, service, target);
	g_hash_table_insert(builder->groups, key, group);
	return group;
}

/* Adds a destination to a route. */
static void fill_destination(view_builder_t *builder, view_route_t *route, const char *service,
			     const char *target, double weight)
{
	view_destination_t *destination = &route->destinations[route->destination_count++];

	destination->group = get_group(builder, service, target);
	destination->weight = weight;
	destination->timeout_ms = service_timeout_ms(builder->config, service);
	route->weight_sum += weight;
}

/* Copies a route into a view. */
static void copy_route(view_builder_t *builder, const Caraway__Route *route, view_route_t *copy)
{
	copy->name = g_strdup(route->name);
	copy->id = cw_hash(route->name, strlen(route->name), 0);
	copy->host = g_strdup(route->host);
	copy->path = g_strdup(route->path);
	copy->idempotence = route->idempotence;
	copy->timeout_ms = route->timeout_ms;
	copy->target_latency_ms = route->target_latency_ms;
	copy->priority = route->priority;
	copy->max_attempts = route->max_attempts;
	copy->is_public = route->access == CARAWAY__ACCESS__ACCESS_PUBLIC;
	copy->destinations = g_new0(view_destination_t, MAX(route->n_splits, 1));
	if (!route->n_splits)
		fill_destination(builder, copy, route->service, route->target, 1);
	for (size_t i = 0; i < route->n_splits; i++)
		fill_destination(builder, copy, route->splits[i]->service, "", route->splits[i]->weight);
}

/* Hashes a digest, which is itself a hash (GHashFunc). */
static guint hash_key_digest(gconstpointer digest)
{
	return (guint)((const cw_key_digest_t *)digest)->words[0];
}

/* Compares digests in constant time (GEqualFunc). */
static gboolean key_digests_equal(gconstpointer left, gconstpointer right)
{
	return !sodium_memcmp(left, right, sizeof(cw_key_digest_t));
}

/*
 * Adds a salt to those of a view, unless it is there.  Accounts of change files may have salts of their own; with that
 * of one account only, the keys of the others were refused as unknown.
 */
static void add_key_salt(view_t *view, const uint64_t *words)
{
	key_salt_t salt;

	memcpy(salt.words, words, sizeof(salt.words));
	for (guint i = 0; i < view->key_salts->len; i++)
		if (!memcmp(&g_array_index(view->key_salts, key_salt_t, i), &salt, sizeof(salt)))
			return;
	g_array_append_val(view->key_salts, salt);
}

/* Copies a client account into a view and indexes it by its keys. */
static void copy_account(view_t *view, const Caraway__ClientAccount *account)
{
	view_account_t *copy = &view->accounts[view->account_count++];

	copy->name = g_strdup(account->name);
	copy->id = cw_hash(account->name, strlen(account->name), 0) | 1;
	copy->has_priority = account->has_priority;
	copy->priority = account->priority;
	copy->calls_per_s = account->calls_per_s;
	copy->burst = account->burst;
	if (account->n_key_salt == KEY_SALT_WORDS)
		add_key_salt(view, account->key_salt);
	for (size_t i = 0; i + 1 < account->n_key_digests; i += 2)
		g_hash_table_insert(view->accounts_by_key,
				    g_memdup2(&account->key_digests[i], sizeof(cw_key_digest_t)), copy);
}

/* Copies the client accounts into a view. */
static void copy_accounts(view_t *view, const cw_config_t *config)
{
	if (!config->accounts->len)
		return;
	view->accounts = g_new0(view_account_t, config->accounts->len);
	view->key_salts = g_array_new(FALSE, FALSE, sizeof(key_salt_t));
	view->accounts_by_key = g_hash_table_new_full(hash_key_digest, key_digests_equal, g_free, NULL);
	for (guint i = 0; i < config->accounts->len; i++)
		copy_account(view, g_ptr_array_index(config->accounts, i));
}

/* Returns the client account that has a key. */
const view_account_t *view_find_account(const view_t *view, const char *key)
{
	const view_account_t *account = NULL;

	for (guint i = 0; i < view->key_salts->len && !account; i++) {
		const key_salt_t *salt = &g_array_index(view->key_salts, key_salt_t, i);
		cw_key_digest_t digest = cw_account_key_digest(salt->words, key);

		account = g_hash_table_lookup(view->accounts_by_key, &digest);
	}
	return account;
}

/* Orders routes by length of the path, longest first, then by path and name. */
static int compare_routes(const void *a, const void *b)
{
	const view_route_t *left = a;
	const view_route_t *right = b;
	size_t left_length = strlen(left->path);
	size_t right_length = strlen(right->path);

	if (left_length != right_length)
		return left_length > right_length ? -1 : 1;
	if (strcmp(left->path, right->path) != 0)
		return strcmp(left->path, right->path);
	return strcmp(left->name, right->name);
}

/* Indexes the first route of each path. */
static void index_routes_by_path(view_t *view)
{
	view->routes_by_path = g_hash_table_new(g_str_hash, g_str_equal);
	for (uint32_t i = view->route_count; i-- > 0;)
		g_hash_table_insert(view->routes_by_path, view->routes[i].path, &view->routes[i]);
}

/* Moves the groups from the builder to the view. */
static void move_groups(view_t *view, const view_builder_t *builder)
{
	GHashTableIter iter;
	gpointer group;

	view->groups = g_new0(view_group_t *, g_hash_table_size(builder->groups) + 1);
	g_hash_table_iter_init(&iter, builder->groups);
	while (g_hash_table_iter_next(&iter, NULL, &group))
		view->groups[view->group_count++] = group;
}

/* Builds the view of a VM from copies of the catalog's entries and of the endpoints. */
view_t *view_new(const cw_catalog_t *catalog, const Caraway__Vm *vm, const GPtrArray *endpoints)
{
	cw_config_t *config = cw_catalog_resolve(catalog, vm);
	view_builder_t builder = {catalog, config, routed_endpoints(config, endpoints),
				  g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};
	view_t *view = g_new0(view_t, 1);
	const Caraway__Service *service;

	view->reference_count = 1;
	view->version = cw_catalog_version(catalog);
	view->endpoint_count = builder.endpoints->len;
	view->endpoints = g_new0(view_endpoint_t, view->endpoint_count + 1);
	for (uint32_t i = 0; i < view->endpoint_count; i++)
		copy_endpoint(&view->endpoints[i], g_ptr_array_index(builder.endpoints, i));
	view->route_count = config->routes->len;
	view->routes = g_new0(view_route_t, view->route_count + 1);
	for (uint32_t i = 0; i < view->route_count; i++)
		copy_route(&builder, g_ptr_array_index(config->routes, i), &view->routes[i]);
	qsort(view->routes, view->route_count, sizeof(*view->routes), compare_routes);
	index_routes_by_path(view);
	move_groups(view, &builder);
	copy_accounts(view, config);
	service = find_service(config, vm->service);
	view->health_path = g_strdup(service ? service->health_path : "");
	if (config->limits->len)
		view->limits = cw_message_copy(g_ptr_array_index(config->limits, 0));
	g_hash_table_destroy(builder.groups);
	g_ptr_array_unref(builder.endpoints);
	cw_config_free(config);
	return view;
}

/* Frees a view. */
static void view_free(view_t *view)
{
	for (uint32_t i = 0; i < view->endpoint_count; i++) {
		g_free(view->endpoints[i].vm);
		g_free(view->endpoints[i].zone);
		g_free(view->endpoints[i].region);
		g_free(view->endpoints[i].service);
		g_free(view->endpoints[i].call_address);
		g_free(view->endpoints[i].target_version);
	}
	for (uint32_t i = 0; i < view->route_count; i++) {
		g_free(view->routes[i].name);
		g_free(view->routes[i].host);
		g_free(view->routes[i].path);
		g_free(view->routes[i].destinations);
	}
	for (uint32_t i = 0; i < view->group_count; i++) {
		g_free(view->groups[i]->service);
		g_free(view->groups[i]->endpoint_indexes);
		g_free(view->groups[i]);
	}
	for (uint32_t i = 0; i < view->account_count; i++)
		g_free(view->accounts[i].name);
	g_free(view->accounts);
	if (view->accounts_by_key) {
		g_hash_table_destroy(view->accounts_by_key);
		g_array_unref(view->key_salts);
	}
	cw_message_free(view->limits);
	g_free(view->health_path);
	g_free(view->endpoints);
	g_free(view->groups);
	g_hash_table_destroy(view->routes_by_path);
	g_free(view->routes);
	g_free(view);
}

/* Takes a reference to a view; within the read-side critical section that it was read in. */
const view_t *view_ref(const view_t *view)
{
	g_atomic_int_inc(&((view_t *)view)->reference_count);
	return view;
}

/* Drops a reference; any thread, NULL is allowed. */
void view_unref(const view_t *view)
{
	if (view && g_atomic_int_dec_and_test(&((view_t *)view)->reference_count))
		view_free((view_t *)view);
}

/* Returns whether a prefix of this length ends at a segment boundary: end of path, or next to a slash. */
static bool is_segment_end(const char *path, size_t length)
{
	return !length || !path[length] || path[length] == '/' || path[length - 1] == '/';
}

/* Returns the route that has exactly this path: the first for this host, else the first for any host; or NULL. */
static const view_route_t *find_exact_route(const view_t *view, const char *host, const char *path)
{
	const view_route_t *route = g_hash_table_lookup(view->routes_by_path, path);
	const view_route_t *end = view->routes + view->route_count;

	const view_route_t *for_any_host = NULL;

	for (; route && route < end && !strcmp(route->path, path); route++) {
		if (*route->host && !g_ascii_strcasecmp(route->host, host))
			return route;
		if (!*route->host && !for_any_host)
			for_any_host = route;
	}
	return for_any_host;
}

/* Returns the route for a host with the longest prefix of a path, without query; or NULL. */
const view_route_t *view_find_route(const view_t *view, const char *host, const char *path)
{
	g_autofree char *prefix = g_strdup(path);
	const view_route_t *route = NULL;

	for (size_t length = strlen(path) + 1; length-- > 0 && !route;) {
		prefix[length] = '\0';
		if (is_segment_end(path, length))
			route = find_exact_route(view, host, prefix);
	}
	return route;
}

/* Selects a destination by weight; one of weight 0 is never selected. */
const view_destination_t *view_choose_destination(const view_route_t *route, double random_unit)
{
	double remaining = random_unit * route->weight_sum;
	const view_destination_t *last = NULL;

	for (uint32_t i = 0; i < route->destination_count; i++) {
		const view_destination_t *destination = &route->destinations[i];

		if (destination->weight <= 0)
			continue;
		last = destination;
		remaining -= destination->weight;
		if (remaining < 0)
			break;
	}
	return last;
}

struct published_view {
	view_t *view;			  /* NULL: none */
	uint64_t serial;		  /* of the last view published */
	_Atomic int64_t current_until_ms; /* until when it counts as the newest */
	rollouts_t *rollouts;
	_Atomic int64_t keys_until_ms; /* until when its keys may be accepted */
};

/* Creates a pointer to a published view, with no view yet. */
published_view_t *published_view_new(void)
{
	published_view_t *published = g_new0(published_view_t, 1);

	published->rollouts = rollouts_new();
	atomic_init(&published->current_until_ms, INT64_MAX);
	atomic_init(&published->keys_until_ms, INT64_MAX);
	return published;
}

/* Frees the pointer and its view; there must be no readers. */
void published_view_free(published_view_t *published)
{
	if (!published)
		return;
	view_unref(published->view);
	rollouts_free(published->rollouts);
	g_free(published);
}

/* Returns the roll-outs of the proxy. */
rollouts_t *published_view_rollouts(const published_view_t *published)
{
	return published->rollouts;
}

/* Replaces the view, waits for the readers of the old one and releases it; control thread only. */
void published_view_replace(published_view_t *published, view_t *view)
{
	view_t *old;

	view->serial = ++published->serial;
	old = rcu_xchg_pointer(&published->view, view);
	if (!old)
		return;
	urcu_memb_synchronize_rcu();
	view_unref(old);
}

/* Returns the published view; call it and use the result within a read-side critical section only. */
const view_t *published_view_read(const published_view_t *published)
{
	return rcu_dereference(published->view);
}

/* Sets until when the published view counts as the newest. */
void published_view_set_current_until(published_view_t *published, int64_t current_until_ms)
{
	atomic_store(&published->current_until_ms, current_until_ms);
}

/*
 * Returns until when the published view counts as the newest.  Read it before the
 * view: a view that is replaced in between is not older than the time returned.
 */
int64_t published_view_current_until_ms(const published_view_t *published)
{
	return atomic_load(&published->current_until_ms);
}

/* Sets until when the keys in the published view may be accepted. */
void published_view_set_keys_until(published_view_t *published, int64_t keys_until_ms)
{
	atomic_store(&published->keys_until_ms, keys_until_ms);
}

/*
 * Returns until when the keys in the published view may be accepted.  Read it before
 * the view: the time holds for that view and for those after it.
 */
int64_t published_view_keys_until_ms(const published_view_t *published)
{
	return atomic_load(&published->keys_until_ms);
}
