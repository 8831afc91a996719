/* The endpoints that a call may be sent to, copied out of one view. */
#include "endpoints.h"

#include <string.h>
#include <urcu/urcu-memb.h>

enum {
	MAX_AHEAD = 64 /* no connection is made before a call needs it while so many are open */
};

/* Fills in the endpoints of a group. */
static void take_group(endpoints_t *endpoints, const view_group_t *group)
{
	endpoints->service = group->service;
	endpoints->endpoints = g_new0(endpoint_t, group->endpoint_count);
	endpoints->endpoint_count = group->endpoint_count;
	for (uint32_t i = 0; i < group->endpoint_count; i++) {
		const view_endpoint_t *from = &endpoints->view->endpoints[group->endpoints[i]];

		endpoints->endpoints[i] = (endpoint_t){.vm = from->vm,
						       .zone = from->zone,
						       .address = from->call_address,
						       .incarnation = from->incarnation,
						       .slots = from->slots,
						       .draining = from->draining};
	}
}

/* Takes the route of a held view. */
static void take_route(endpoints_t *endpoints, const view_route_t *route, double draw)
{
	const view_destination_t *destination = view_destination(route, draw);

	endpoints->route = route;
	endpoints->timeout_ms = route->timeout_ms ? route->timeout_ms : destination->timeout_ms;
	take_group(endpoints, destination->group);
}

/* Reads the route of a host and of a path, without its query, out of the published view. */
void endpoints_read(endpoints_t *endpoints, const view_slot_t *views, const char *host, const char *path,
		    double draw)
{
	g_autofree char *plain_path = g_strndup(path, strcspn(path, "?"));
	g_autofree char *plain_host = g_strndup(host ? host : "", strcspn(host ? host : "", ":"));
	const view_route_t *route;
	const view_t *view;

	*endpoints = (endpoints_t){.refusal = CW_REASON_NONE};
	urcu_memb_read_lock();
	view = view_slot_read(views);
	endpoints->view = view ? view_hold(view) : NULL;
	urcu_memb_read_unlock();
	route = view ? view_route(view, plain_host, plain_path) : NULL;
	/* Without a route nothing has been put in force here yet: to say that this one does not exist would be wrong. */
	if (!view || !view->route_count)
		endpoints->refusal = CW_REASON_NO_CONFIG;
	else if (!route)
		endpoints->refusal = CW_REASON_NO_ROUTE;
	else
		take_route(endpoints, route, draw);
}

/* Frees what was filled in and gives the view back. */
void endpoints_clear(endpoints_t *endpoints)
{
	g_free(endpoints->endpoints);
	view_release(endpoints->view);
}

/* Fills in what the chooser sees of the endpoints; those that drain, and (where asked) those tried, are excluded. */
static void fill_candidates(const endpoints_t *endpoints, bool exclude_tried, cw_candidate_t *candidates)
{
	for (size_t i = 0; i < endpoints->endpoint_count; i++) {
		const endpoint_t *endpoint = &endpoints->endpoints[i];

		candidates[i] = (cw_candidate_t){.vm = endpoint->vm,
						 .zone = endpoint->zone,
						 .incarnation = endpoint->incarnation,
						 .slots = endpoint->slots,
						 .excluded = endpoint->draining ||
							     (exclude_tried && endpoint->tried)};
	}
}

/* Returns whether an endpoint gives clearly more errors than the best other one. */
bool endpoints_fails_more(const endpoints_t *endpoints, cw_pick_t *pick, const endpoint_t *endpoint,
			  int64_t now_ms)
{
	cw_candidate_t *candidates = g_newa(cw_candidate_t, endpoints->endpoint_count + 1);

	fill_candidates(endpoints, false, candidates);
	return cw_pick_is_error_outlier(pick, candidates, endpoints->endpoint_count, endpoint->vm, now_ms);
}

/* Returns the endpoint that the chooser takes, marked as tried, or NULL when none is left. */
endpoint_t *endpoints_choose(endpoints_t *endpoints, cw_pick_t *pick, const cw_pick_call_t *want,
			     int64_t now_ms)
{
	cw_candidate_t *candidates = g_newa(cw_candidate_t, endpoints->endpoint_count + 1);
	int position;

	fill_candidates(endpoints, true, candidates);
	position = cw_pick_choose(pick, candidates, endpoints->endpoint_count, want, now_ms);
	if (position < 0)
		return NULL;
	endpoints->endpoints[position].tried = true;
	return &endpoints->endpoints[position];
}

/* Lets endpoints that were tried be chosen again. */
void endpoints_forget_tried(endpoints_t *endpoints)
{
	for (size_t i = 0; i < endpoints->endpoint_count; i++)
		endpoints->endpoints[i].tried = false;
}

/* What decides whether a connection is kept. */
typedef struct {
	GHashTable *reachable; /* addresses that routes lead to */
	bool (*in_use)(const void *data, const char *address);
	const void *data;
} retention_t;

/* Returns true for an address that a route leads to or a call uses. */
static bool is_wanted(const void *data, const char *address)
{
	const retention_t *retention = data;

	return g_hash_table_contains(retention->reachable, address) ||
	       retention->in_use(retention->data, address);
}

/* Fills in the addresses that routes of a view lead to, in the order that the view has them and once each. */
static void gather_addresses(const view_t *view, GHashTable *reachable, GPtrArray *ordered)
{
	for (uint32_t i = 0; i < view->endpoint_count; i++) {
		const char *address = view->endpoints[i].call_address;
		char *copy;

		if (g_hash_table_contains(reachable, address))
			continue;
		copy = g_strdup(address);
		g_hash_table_add(reachable, copy);
		g_ptr_array_add(ordered, copy);
	}
}

/* Orders addresses by a hash that differs from one proxy to the next. */
static gint compare_by_hash(gconstpointer a, gconstpointer b, gpointer seed)
{
	const char *left = *(char *const *)a;
	const char *right = *(char *const *)b;
	uint64_t left_hash = cw_hash(left, strlen(left), *(const uint64_t *)seed);
	uint64_t right_hash = cw_hash(right, strlen(right), *(const uint64_t *)seed);

	return (left_hash > right_hash) - (left_hash < right_hash);
}

/*
 * Follows a new view: closes connections that no route leads to and no call
 * uses, and opens some ahead of the calls that may need them.  The others are
 * opened by the first call, so that a proxy pays for the targets it calls and
 * not for all that its routes name.  The seed, its incarnation, spreads the
 * connections of many proxies over the endpoints.
 */
void endpoint_links_follow(const view_t *view, uint64_t seed, link_clients_t *clients,
			   bool (*in_use)(const void *data, const char *address), const void *data)
{
	g_autoptr(GHashTable) reachable = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_autoptr(GPtrArray) ordered = g_ptr_array_new();
	retention_t retention = {.reachable = reachable, .in_use = in_use, .data = data};

	gather_addresses(view, reachable, ordered);
	link_clients_retain(clients, is_wanted, &retention);
	g_ptr_array_sort_with_data(ordered, compare_by_hash, &seed);
	for (guint i = 0; i < ordered->len && link_clients_count(clients) < MAX_AHEAD; i++)
		link_clients_connect(clients, g_ptr_array_index(ordered, i));
}

/* Returns the view published last when it is another than the one seen, held; else NULL. */
const view_t *endpoints_new_view(uint64_t *seen_serial, const view_slot_t *views)
{
	const view_t *view;

	urcu_memb_read_lock();
	view = view_slot_read(views);
	view = view && view->serial != *seen_serial ? view_hold(view) : NULL;
	urcu_memb_read_unlock();
	if (view)
		*seen_serial = view->serial;
	return view;
}
