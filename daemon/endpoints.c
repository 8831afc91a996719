/* The endpoints that a call may be sent to, copied out of one view. */
#include "endpoints.h"

#include <string.h>
#include <urcu/urcu-memb.h>

enum {
	MAX_AHEAD = 1024 /* connections made before a call needs them */
};

/* Copies one endpoint. */
static endpoint_t copy_endpoint(const view_endpoint_t *from)
{
	return (endpoint_t){.vm = g_strdup(from->vm),
			    .zone = g_strdup(from->zone),
			    .address = g_strdup(from->call_address),
			    .incarnation = from->incarnation,
			    .slots = from->slots,
			    .draining = from->draining};
}

/* Copies a route with its endpoints. */
static void copy_route(endpoints_t *endpoints, const view_t *view, const view_route_t *route)
{
	endpoints->version = view->version;
	endpoints->service = g_strdup(route->service);
	endpoints->idempotence = route->idempotence;
	endpoints->timeout_ms = route->timeout_ms;
	endpoints->endpoints = g_new0(endpoint_t, route->endpoint_count);
	endpoints->endpoint_count = route->endpoint_count;
	for (uint32_t i = 0; i < route->endpoint_count; i++)
		endpoints->endpoints[i] = copy_endpoint(&view->endpoints[route->endpoints[i]]);
}

/* Copies the route of a path, without its query, out of the published view. */
void endpoints_read(endpoints_t *endpoints, const view_slot_t *views, const char *path)
{
	g_autofree char *plain = g_strndup(path, strcspn(path, "?"));
	const view_route_t *route;
	const view_t *view;

	*endpoints = (endpoints_t){.refusal = CW_REASON_NONE};
	urcu_memb_read_lock();
	view = view_slot_read(views);
	route = view ? view_route(view, plain) : NULL;
	if (!view)
		endpoints->refusal = CW_REASON_NO_CONFIG;
	else if (!route)
		endpoints->refusal = CW_REASON_NO_ROUTE;
	else
		copy_route(endpoints, view, route);
	urcu_memb_read_unlock();
}

/* Frees what was copied. */
void endpoints_clear(endpoints_t *endpoints)
{
	for (size_t i = 0; i < endpoints->endpoint_count; i++) {
		g_free(endpoints->endpoints[i].vm);
		g_free(endpoints->endpoints[i].zone);
		g_free(endpoints->endpoints[i].address);
	}
	g_free(endpoints->endpoints);
	g_free(endpoints->service);
}

/* Returns the endpoint that the chooser takes, marked as tried, or NULL when none is left. */
endpoint_t *endpoints_choose(endpoints_t *endpoints, cw_pick_t *pick, int64_t now_ms)
{
	cw_candidate_t *candidates = g_newa(cw_candidate_t, endpoints->endpoint_count + 1);
	int position;

	for (size_t i = 0; i < endpoints->endpoint_count; i++) {
		const endpoint_t *endpoint = &endpoints->endpoints[i];

		candidates[i] = (cw_candidate_t){.vm = endpoint->vm,
						 .zone = endpoint->zone,
						 .incarnation = endpoint->incarnation,
						 .slots = endpoint->slots,
						 .excluded = endpoint->draining || endpoint->tried};
	}
	position = cw_pick_choose(pick, candidates, endpoints->endpoint_count, now_ms);
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

/* Sets up an empty set of connections. */
void endpoint_links_init(endpoint_links_t *links)
{
	*links =
		(endpoint_links_t){.addresses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};
}

/* Frees the set; the connections belong to the clients. */
void endpoint_links_clear(endpoint_links_t *links)
{
	g_hash_table_destroy(links->addresses);
}

/* Returns the addresses that routes of a view lead to; NULL for no view. */
static GHashTable *addresses_of(const view_t *view)
{
	GHashTable *addresses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (uint32_t i = 0; view && i < view->route_count; i++) {
		const view_route_t *route = &view->routes[i];

		for (uint32_t j = 0; j < route->endpoint_count; j++)
			if (g_hash_table_size(addresses) < MAX_AHEAD)
				g_hash_table_add(addresses,
						 g_strdup(view->endpoints[route->endpoints[j]].call_address));
	}
	return addresses;
}

/* Closes connections that no route leads to and no call uses; the others stay in the wanted set. */
static void close_unwanted(endpoint_links_t *links, GHashTable *wanted, link_clients_t *clients,
			   bool (*in_use)(const void *data, const char *address), const void *data)
{
	GHashTableIter iter;
	gpointer address;

	g_hash_table_iter_init(&iter, links->addresses);
	while (g_hash_table_iter_next(&iter, &address, NULL)) {
		if (g_hash_table_contains(wanted, address))
			continue;
		if (in_use(data, address))
			g_hash_table_add(wanted, g_strdup(address));
		else
			link_clients_drop(clients, address);
	}
}

/* Follows a new view: connects to what its routes lead to and closes what they no longer do. */
void endpoint_links_follow(endpoint_links_t *links, const view_slot_t *views, link_clients_t *clients,
			   bool (*in_use)(const void *data, const char *address), const void *data)
{
	GHashTable *wanted = NULL;
	GHashTableIter iter;
	gpointer address;
	const view_t *view;

	urcu_memb_read_lock();
	view = view_slot_read(views);
	if (view && view->serial != links->seen_serial) {
		wanted = addresses_of(view);
		links->seen_serial = view->serial;
	}
	urcu_memb_read_unlock();
	if (!wanted)
		return;
	close_unwanted(links, wanted, clients, in_use, data);
	g_hash_table_iter_init(&iter, wanted);
	while (g_hash_table_iter_next(&iter, &address, NULL))
		link_clients_connect(clients, address);
	g_hash_table_destroy(links->addresses);
	links->addresses = wanted;
}
