/* The route of a call and its candidate endpoints, all read from one view. */
#include "endpoints.h"

#include <string.h>
#include <urcu/urcu-memb.h>

#include "clock.h"

enum {
	MAX_PREOPENED_CONNECTIONS = 64 /* with so many open, others are opened only when a call needs them */
};

/* Copies the endpoints of a group. */
static void copy_group(endpoints_t *endpoints, const view_group_t *group)
{
	endpoints->service = group->service;
	endpoints->endpoints = g_new0(endpoint_t, group->endpoint_count);
	endpoints->endpoint_count = group->endpoint_count;
	for (uint32_t i = 0; i < group->endpoint_count; i++) {
		const view_endpoint_t *source = &endpoints->view->endpoints[group->endpoint_indexes[i]];

		endpoints->endpoints[i] = (endpoint_t){.vm = source->vm,
						       .zone = source->zone,
						       .address = source->call_address,
						       .incarnation = source->incarnation,
						       .slots = source->slots,
						       .target_version = source->target_version,
						       .draining = source->draining};
	}
}

/* Sets the route of a call, the service it goes to and the timeout. */
static void copy_route(endpoints_t *endpoints, const view_route_t *route, double random_unit)
{
	const view_destination_t *destination = view_choose_destination(route, random_unit);

	endpoints->route = route;
	endpoints->timeout_ms = route->timeout_ms ? route->timeout_ms : destination->timeout_ms;
	copy_group(endpoints, destination->group);
}

/* Looks up the route of a host and path in the published view; the port and the query are ignored. */
void endpoints_lookup(endpoints_t *endpoints, const published_view_t *published_view, const char *host,
		      const char *path, double random_unit)
{
	g_autofree char *path_without_query = g_strndup(path, strcspn(path, "?"));
	g_autofree char *host_without_port = g_strndup(host ? host : "", strcspn(host ? host : "", ":"));
	const view_route_t *route;
	const view_t *view;

	int64_t current_until_ms = published_view_current_until_ms(published_view);

	*endpoints = (endpoints_t){.refusal = CW_REASON_NONE,
				   .current_until_ms = current_until_ms,
				   .keys_until_ms = published_view_keys_until_ms(published_view)};
	urcu_memb_read_lock();
	view = published_view_read(published_view);
	endpoints->view = view ? view_ref(view) : NULL;
	urcu_memb_read_unlock();
	route = view ? view_find_route(view, host_without_port, path_without_query) : NULL;
	/* Without any route no configuration is in force yet: NO_ROUTE, a 404, would be wrong. */
	if (!view || !view->route_count)
		endpoints->refusal = CW_REASON_NO_CONFIG;
	else if (!route)
		endpoints->refusal =
			clock_now_ms() < current_until_ms ? CW_REASON_NO_ROUTE : CW_REASON_CONFIG_STALE;
	else
		copy_route(endpoints, route, random_unit);
}

/* Marks the endpoint of this proxy, if there is one; returns whether there is. */
bool endpoints_mark_own(endpoints_t *endpoints, const char *vm, uint64_t incarnation)
{
	for (size_t i = 0; i < endpoints->endpoint_count; i++) {
		endpoint_t *endpoint = &endpoints->endpoints[i];

		if (endpoint->incarnation != incarnation || !g_str_equal(endpoint->vm, vm))
			continue;
		endpoint->own = true;
		return true;
	}
	return false;
}

/* Frees the endpoints and releases the view. */
void endpoints_clear(endpoints_t *endpoints)
{
	g_free(endpoints->endpoints);
	view_unref(endpoints->view);
}

/* Fills in the load balancer's candidates; excludes draining ones, and tried ones if exclude_tried. */
static void fill_candidates(const endpoints_t *endpoints, bool exclude_tried, cw_candidate_t *candidates)
{
	for (size_t i = 0; i < endpoints->endpoint_count; i++) {
		const endpoint_t *endpoint = &endpoints->endpoints[i];

		candidates[i] = (cw_candidate_t){.vm = endpoint->vm,
						 .zone = endpoint->zone,
						 .incarnation = endpoint->incarnation,
						 .slots = endpoint->slots,
						 .own = endpoint->own,
						 .excluded = endpoint->draining || endpoint->withheld ||
							     (exclude_tried && endpoint->tried)};
	}
}

/* Returns whether an endpoint's error rate is clearly higher than that of the best other one. */
bool endpoints_is_error_outlier(const endpoints_t *endpoints, cw_pick_t *pick, const endpoint_t *endpoint,
				int64_t now_ms)
{
	cw_candidate_t *candidates = g_newa(cw_candidate_t, endpoints->endpoint_count + 1);

	fill_candidates(endpoints, false, candidates);
	return cw_pick_is_error_outlier(pick, candidates, endpoints->endpoint_count, endpoint->vm, now_ms);
}

/* Returns the endpoint that the load balancer chooses, marked as tried, or NULL with the reason. */
endpoint_t *endpoints_choose(endpoints_t *endpoints, cw_pick_t *pick, const cw_pick_call_t *call,
			     int64_t now_ms, cw_reason_t *reason)
{
	cw_candidate_t *candidates = g_newa(cw_candidate_t, endpoints->endpoint_count + 1);
	int position;

	fill_candidates(endpoints, true, candidates);
	position = cw_pick_choose(pick, candidates, endpoints->endpoint_count, call, now_ms);
	*reason = position == CW_PICK_CROWDED ? CW_REASON_CROWDED : CW_REASON_NONE;
	if (position < 0)
		return NULL;
	endpoints->endpoints[position].tried = true;
	return &endpoints->endpoints[position];
}

/* Withholds the endpoints that an attempt may not use by the choice of a roll-out; none without one. */
void endpoints_restrict(endpoints_t *endpoints, rollouts_t *rollouts, const rollout_choice_t *choice)
{
	size_t count = choice->rollout ? endpoints->endpoint_count : 0;
	g_autofree rollout_endpoint_t *restricted = g_new0(rollout_endpoint_t, count + 1);

	for (size_t i = 0; i < count; i++) {
		const endpoint_t *endpoint = &endpoints->endpoints[i];

		restricted[i] = (rollout_endpoint_t){.vm = endpoint->vm,
						     .target_version = endpoint->target_version,
						     .draining = endpoint->draining};
	}
	rollouts_restrict(rollouts, choice, endpoints->service, restricted, count);
	for (size_t i = 0; i < endpoints->endpoint_count; i++) {
		endpoints->endpoints[i].withheld = count && restricted[i].withheld;
		endpoints->endpoints[i].is_new = count && restricted[i].is_new;
	}
}

/* Makes endpoints that were tried eligible again. */
void endpoints_reset_tried(endpoints_t *endpoints)
{
	for (size_t i = 0; i < endpoints->endpoint_count; i++)
		endpoints->endpoints[i].tried = false;
}

/* What is_retained() needs to decide whether a connection is kept. */
typedef struct {
	GHashTable *routed_addresses; /* set of call addresses of the view's endpoints; owns the strings */
	bool (*in_use)(const void *data, const char *address);
	const void *data;
} retention_t;

/* Returns whether an address is that of an endpoint in the view or is used by a call. */
static bool is_retained(const void *data, const char *address)
{
	const retention_t *retention = data;

	return g_hash_table_contains(retention->routed_addresses, address) ||
	       retention->in_use(retention->data, address);
}

/* Collects the addresses of a view's endpoints, without duplicates, in the order of the view. */
static void collect_addresses(const view_t *view, GHashTable *routed_addresses, GPtrArray *ordered)
{
	for (uint32_t i = 0; i < view->endpoint_count; i++) {
		const char *address = view->endpoints[i].call_address;
		char *copy;

		if (g_hash_table_contains(routed_addresses, address))
			continue;
		copy = g_strdup(address);
		g_hash_table_add(routed_addresses, copy);
		g_ptr_array_add(ordered, copy);
	}
}

/* Compares addresses by a seeded hash, so that the order differs between proxies (GCompareDataFunc). */
static gint compare_by_hash(gconstpointer a, gconstpointer b, gpointer seed)
{
	const char *left = *(char *const *)a;
	const char *right = *(char *const *)b;
	uint64_t left_hash = cw_hash(left, strlen(left), *(const uint64_t *)seed);
	uint64_t right_hash = cw_hash(right, strlen(right), *(const uint64_t *)seed);

	return (left_hash > right_hash) - (left_hash < right_hash);
}

/*
 * Updates connections for a new view: closes those to endpoints that it does
 * not contain, unless a call uses them, and opens a limited number in advance.
 * The others are opened by the first call, so that a proxy has connections to
 * the targets that it calls, not to every target of its routes.  The seed, the
 * proxy's incarnation, spreads the connections of many proxies over the
 * endpoints.
 */
void endpoint_links_update(const view_t *view, uint64_t seed, link_clients_t *clients,
			   bool (*in_use)(const void *data, const char *address), const void *data)
{
	g_autoptr(GHashTable) routed_addresses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_autoptr(GPtrArray) ordered = g_ptr_array_new();
	retention_t retention = {.routed_addresses = routed_addresses, .in_use = in_use, .data = data};

	collect_addresses(view, routed_addresses, ordered);
	link_clients_retain(clients, is_retained, &retention);
	g_ptr_array_sort_with_data(ordered, compare_by_hash, &seed);
	for (guint i = 0; i < ordered->len && link_clients_count(clients) < MAX_PREOPENED_CONNECTIONS; i++)
		link_clients_connect(clients, g_ptr_array_index(ordered, i));
}

/* Returns a reference to the published view if it differs from the last one seen; else NULL. */
const view_t *endpoints_poll_view(uint64_t *seen_serial, const published_view_t *published_view)
{
	const view_t *view;

	urcu_memb_read_lock();
	view = published_view_read(published_view);
	view = view && view->serial != *seen_serial ? view_ref(view) : NULL;
	urcu_memb_read_unlock();
	if (view)
		*seen_serial = view->serial;
	return view;
}
