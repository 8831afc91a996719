/* Views: the configuration and endpoints that calls read, published under RCU. */
#include "view.h"

#include <stdlib.h>
#include <string.h>
#include <urcu/urcu-memb.h>

/* Endpoints of a view under construction, with the VMs their labels come from. */
typedef struct {
	const cw_catalog_t *catalog;
	const cw_config_t *config;
	GPtrArray *endpoints; /* Caraway__Endpoint *, borrowed */
} view_source_t;

/* Returns true when a route of the configuration leads to a service. */
static bool is_routed(const cw_config_t *config, const char *service)
{
	for (guint i = 0; i < config->routes->len; i++)
		if (!strcmp(((const Caraway__Route *)g_ptr_array_index(config->routes, i))->service, service))
			return true;
	return false;
}

/* Returns the endpoints that some route leads to, borrowed. */
static GPtrArray *routed_endpoints(const cw_config_t *config, const GPtrArray *endpoints)
{
	GPtrArray *routed = g_ptr_array_new();

	for (guint i = 0; i < endpoints->len; i++) {
		Caraway__Endpoint *endpoint = g_ptr_array_index(endpoints, i);

		if (endpoint->state != CARAWAY__ENDPOINT_STATE__ENDPOINT_GONE && *endpoint->call_address &&
		    is_routed(config, endpoint->service))
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
	copy->draining = endpoint->state == CARAWAY__ENDPOINT_STATE__ENDPOINT_DRAINING;
}

/* Returns the target of a name, or NULL. */
static const Caraway__Target *find_target(const cw_config_t *config, const char *name)
{
	for (guint i = 0; i < config->targets->len; i++) {
		const Caraway__Target *target = g_ptr_array_index(config->targets, i);

		if (!strcmp(target->name, name))
			return target;
	}
	return NULL;
}

/* Returns the time limit of a service; 0 takes the proxy's default. */
static uint32_t service_timeout(const cw_config_t *config, const char *name)
{
	for (guint i = 0; i < config->services->len; i++) {
		const Caraway__Service *service = g_ptr_array_index(config->services, i);

		if (!strcmp(service->name, name))
			return service->timeout_ms;
	}
	return 0;
}

/* Returns true when the labels of an endpoint's VM match; a VM not recorded has its place but no labels. */
static bool selects(const view_source_t *source, const cw_selector_t *selector,
		    const Caraway__Endpoint *endpoint)
{
	const Caraway__Vm *recorded = cw_catalog_vm(source->catalog, endpoint->vm);
	Caraway__Vm vm = CARAWAY__VM__INIT;

	if (recorded)
		return cw_selector_match(selector, recorded);
	vm.name = endpoint->vm;
	vm.zone = endpoint->zone;
	vm.region = endpoint->region;
	vm.service = endpoint->service;
	return cw_selector_match(selector, &vm);
}

/* Returns the selector of a route's target, or NULL for all targets; *none is set when the target is of no use. */
static cw_selector_t *route_selector(const view_source_t *source, const Caraway__Route *route, bool *none)
{
	const Caraway__Target *target;
	cw_selector_t *selector = NULL;

	*none = false;
	if (!*route->target)
		return NULL;
	target = find_target(source->config, route->target);
	*none = !target || strcmp(target->service, route->service) != 0 ||
		cw_selector_parse(target->selector, &selector) != CW_OK;
	return selector;
}

/* Notes the positions of the endpoints that a route leads to. */
static void fill_route_endpoints(const view_source_t *source, const Caraway__Route *route, view_route_t *copy)
{
	bool none;
	cw_selector_t *selector = route_selector(source, route, &none);

	copy->endpoints = g_new0(uint32_t, source->endpoints->len + 1);
	for (guint i = 0; i < source->endpoints->len && !none; i++) {
		const Caraway__Endpoint *endpoint = g_ptr_array_index(source->endpoints, i);

		if (!strcmp(endpoint->service, route->service) &&
		    (!selector || selects(source, selector, endpoint)))
			copy->endpoints[copy->endpoint_count++] = i;
	}
	if (selector)
		cw_selector_free(selector);
}

/* Copies a route into a view. */
static void copy_route(const view_source_t *source, const Caraway__Route *route, view_route_t *copy)
{
	copy->name = g_strdup(route->name);
	copy->path = g_strdup(route->path);
	copy->service = g_strdup(route->service);
	copy->idempotence = route->idempotence;
	copy->timeout_ms = service_timeout(source->config, route->service);
	fill_route_endpoints(source, route, copy);
}

/* Orders routes, the longest path first, then by name. */
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

/* Builds the view of a VM from the catalog and the endpoints, which are borrowed. */
view_t *view_new(const cw_catalog_t *catalog, const Caraway__Vm *vm, const GPtrArray *endpoints)
{
	cw_config_t *config = cw_catalog_resolve(catalog, vm);
	view_source_t source = {catalog, config, routed_endpoints(config, endpoints)};
	view_t *view = g_new0(view_t, 1);

	view->version = cw_catalog_version(catalog);
	view->endpoint_count = source.endpoints->len;
	view->endpoints = g_new0(view_endpoint_t, view->endpoint_count + 1);
	for (uint32_t i = 0; i < view->endpoint_count; i++)
		copy_endpoint(&view->endpoints[i], g_ptr_array_index(source.endpoints, i));
	view->route_count = config->routes->len;
	view->routes = g_new0(view_route_t, view->route_count + 1);
	for (uint32_t i = 0; i < view->route_count; i++)
		copy_route(&source, g_ptr_array_index(config->routes, i), &view->routes[i]);
	qsort(view->routes, view->route_count, sizeof(*view->routes), compare_routes);
	g_ptr_array_unref(source.endpoints);
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

/* Returns true when a prefix covers a path: both are equal or the path goes on with a new segment. */
static bool covers(const char *prefix, const char *path)
{
	size_t length = strlen(prefix);

	if (strncmp(prefix, path, length) != 0)
		return false;
	return !length || prefix[length - 1] == '/' || !path[length] || path[length] == '/';
}

/* Returns the route with the longest prefix of a path without query, or NULL. */
const view_route_t *view_route(const view_t *view, const char *path)
{
	for (uint32_t i = 0; i < view->route_count; i++)
		if (covers(view->routes[i].path, path))
			return &view->routes[i];
	return NULL;
}

struct view_slot {
	view_t *view;
	uint64_t serial;
};

/* Returns a slot without a view. */
view_slot_t *view_slot_new(void)
{
	return g_new0(view_slot_t, 1);
}

/* Frees a slot and its view; there may be no readers any more. */
void view_slot_free(view_slot_t *slot)
{
	if (!slot)
		return;
	view_free(slot->view);
	g_free(slot);
}

/* Replaces the view, waits for the readers of the old one and frees it; control thread only. */
void view_slot_publish(view_slot_t *slot, view_t *view)
{
	view_t *old;

	view->serial = ++slot->serial;
	old = rcu_xchg_pointer(&slot->view, view);
	if (!old)
		return;
	urcu_memb_synchronize_rcu();
	view_free(old);
}

/* Returns the published view, to be used inside a read-side critical section only. */
const view_t *view_slot_read(const view_slot_t *slot)
{
	return rcu_dereference(slot->view);
}
