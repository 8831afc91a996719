/* The view of a proxy: one version of its configuration and the endpoints that its routes lead to. */
#include "view.h"

#include <string.h>
#include <urcu/urcu-memb.h>

struct view_slot {
	view_t *view;
};

/* What view_new() gathers the view from. */
typedef struct {
	const cw_catalog_t *catalog;
	const cw_config_t *config;
	const GPtrArray *endpoints; /* Caraway__Endpoint * */
	GHashTable *positions;	    /* VM -> position in the view's endpoints, plus one */
	GArray *chosen;		    /* view_endpoint_t */
} builder_t;

/* Returns the target of that name, or NULL. */
static const Caraway__Target *find_target(const cw_config_t *config, const char *name)
{
	for (guint i = 0; i < config->targets->len; i++) {
		const Caraway__Target *target = g_ptr_array_index(config->targets, i);

		if (!strcmp(target->name, name))
			return target;
	}
	return NULL;
}

/* Returns the longest time a call of a service may take, in ms; 0 takes the proxy's default. */
static uint32_t service_timeout_ms(const cw_config_t *config, const char *name)
{
	for (guint i = 0; i < config->services->len; i++) {
		const Caraway__Service *service = g_ptr_array_index(config->services, i);

		if (!strcmp(service->name, name))
			return service->timeout_ms;
	}
	return 0;
}

/* Copies an endpoint into the view, once, and returns its position there. */
static uint32_t add_endpoint(builder_t *builder, const Caraway__Endpoint *endpoint)
{
	gpointer held = g_hash_table_lookup(builder->positions, endpoint->vm);
	view_endpoint_t copy = {0};

	if (held)
		return GPOINTER_TO_UINT(held) - 1;
	copy.vm = g_strdup(endpoint->vm);
	copy.zone = g_strdup(endpoint->zone);
	copy.region = g_strdup(endpoint->region);
	copy.service = g_strdup(endpoint->service);
	copy.call_address = g_strdup(endpoint->call_address);
	copy.incarnation = endpoint->incarnation;
	copy.slots = endpoint->slots;
	copy.draining = endpoint->state == CARAWAY__ENDPOINT_STATE__ENDPOINT_DRAINING;
	g_array_append_val(builder->chosen, copy);
	g_hash_table_insert(builder->positions, endpoint->vm, GUINT_TO_POINTER(builder->chosen->len));
	return builder->chosen->len - 1;
}

/* Returns true when a selector chooses the VM of an endpoint; no selector chooses all. */
static bool selects(const builder_t *builder, const cw_selector_t *selector, const char *vm_name)
{
	const Caraway__Vm *vm;

	if (!selector)
		return true;
	vm = cw_catalog_vm(builder->catalog, vm_name);
	return vm && cw_selector_match(selector, vm);
}

/* Parses the selector of a route's target; NULL when the route leads to every target of its service. */
static cw_selector_t *target_selector(const cw_config_t *config, const Caraway__Route *route)
{
	const Caraway__Target *target = *route->target ? find_target(config, route->target) : NULL;
	cw_selector_t *selector = NULL;

	if (target)
		cw_selector_parse(target->selector, &selector);
	return selector;
}

/* Fills in the positions of the endpoints that a route leads to. */
static void gather_endpoints(builder_t *builder, const Caraway__Route *route, view_route_t *copy)
{
	cw_selector_t *selector = target_selector(builder->config, route);
	GArray *positions = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	for (guint i = 0; i < builder->endpoints->len; i++) {
		const Caraway__Endpoint *endpoint = g_ptr_array_index(builder->endpoints, i);
		uint32_t position;

		if (strcmp(endpoint->service, route->service) != 0 ||
		    !selects(builder, selector, endpoint->vm))
			continue;
		position = add_endpoint(builder, endpoint);
		g_array_append_val(positions, position);
	}
	copy->endpoint_count = positions->len;
	copy->endpoints = (uint32_t *)(void *)g_array_free(positions, FALSE);
	if (selector)
		cw_selector_free(selector);
}

/* Orders routes by the length of their paths, longest first, then by name. */
static int compare_routes(const void *a, const void *b)
{
	const view_route_t *left = a;
	const view_route_t *right = b;
	size_t left_length = strlen(left->path);
	size_t right_length = strlen(right->path);

	if (left_length != right_length)
		return left_length > right_length ? -1 : 1;
	return strcmp(left->name, right->name);
}

/* Fills in the routes of the configuration. */
static void gather_routes(builder_t *builder, view_t *view)
{
	view->route_count = builder->config->routes->len;
	view->routes = g_new0(view_route_t, view->route_count);
	for (uint32_t i = 0; i < view->route_count; i++) {
		const Caraway__Route *route = g_ptr_array_index(builder->config->routes, i);
		view_route_t *copy = &view->routes[i];

		copy->name = g_strdup(route->name);
		copy->path = g_strdup(route->path);
		copy->service = g_strdup(route->service);
		copy->idempotence = route->idempotence;
		copy->timeout_ms = service_timeout_ms(builder->config, route->service);
		gather_endpoints(builder, route, copy);
	}
	if (view->route_count)
		qsort(view->routes, view->route_count, sizeof(*view->routes), compare_routes);
}

/* Builds a view for a VM; endpoints are borrowed Caraway__Endpoint *. */
view_t *view_new(const cw_catalog_t *catalog, const Caraway__Vm *vm, const GPtrArray *endpoints)
{
	view_t *view = g_new0(view_t, 1);
	cw_config_t *config = cw_catalog_resolve(catalog, vm);
	builder_t builder = {.catalog = catalog, .config = config, .endpoints = endpoints};

	builder.positions = g_hash_table_new(g_str_hash, g_str_equal);
	builder.chosen = g_array_new(FALSE, FALSE, sizeof(view_endpoint_t));
	view->version = config->version;
	gather_routes(&builder, view);
	view->endpoint_count = builder.chosen->len;
	view->endpoints = (view_endpoint_t *)(void *)g_array_free(builder.chosen, FALSE);
	g_hash_table_destroy(builder.positions);
	cw_config_free(config);
	return view;
}

/* Frees a view; NULL is allowed. */
void view_free(view_t *view)
{
	if (!view)
		return;
	for (uint32_t i = 0; i < view->endpoint_count; i++) {
		g_free(view->endpoints[i].vm);
		g_free(view->endpoints[i].zone);
		g_free(view->endpoints[i].region);
		g_free(view->endpoints[i].service);
		g_free(view->endpoints[i].call_address);
	}
	for (uint32_t i = 0; i < view->route_count; i++) {
		g_free(view->routes[i].name);
		g_free(view->routes[i].path);
		g_free(view->routes[i].service);
		g_free(view->routes[i].endpoints);
	}
	g_free(view->endpoints);
	g_free(view->routes);
	g_free(view);
}

/* Returns true when a path is the prefix or lies below it. */
static bool path_matches(const char *prefix, const char *path)
{
	size_t length = strlen(prefix);

	if (strncmp(prefix, path, length) != 0)
		return false;
	return prefix[length - 1] == '/' || !path[length] || path[length] == '/' || path[length] == '?';
}

/* Returns the route with the longest path that matches, or NULL. */
const view_route_t *view_route(const view_t *view, const char *path)
{
	for (uint32_t i = 0; i < view->route_count; i++)
		if (path_matches(view->routes[i].path, path))
			return &view->routes[i];
	return NULL;
}

/* Creates a slot that holds no view yet. */
view_slot_t *view_slot_new(void)
{
	return g_new0(view_slot_t, 1);
}

/* Frees a slot and its view; no reader may be left. */
void view_slot_free(view_slot_t *slot)
{
	view_free(slot->view);
	g_free(slot);
}

/* Replaces the view and frees the old one after every reader has left it; control thread only. */
void view_slot_publish(view_slot_t *slot, view_t *view)
{
	view_t *old = rcu_xchg_pointer(&slot->view, view);

	if (!old)
		return;
	urcu_memb_synchronize_rcu();
	view_free(old);
}

/* Returns the published view, valid until the reader unlocks; NULL until there is one. */
const view_t *view_slot_read(const view_slot_t *slot)
{
	return rcu_dereference(slot->view);
}
