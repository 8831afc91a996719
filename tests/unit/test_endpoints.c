/* Tests of the lookup of routes and endpoints in the published view, and of connections to endpoints. */
#include <check.h>
#include <urcu/urcu-memb.h>

#include "clock.h"
#include "endpoints.h"
#include "script.h"

enum { CALLS = 1000, CURRENT_MS = 60000 };

/* Returns a view of a content and of count endpoints of a service, on consecutive ports from first_port. */
static view_t *new_view_of_content(Caraway__Content *content, uint64_t version, const char *service,
				   uint32_t first_port, uint32_t count)
{
	g_autoptr(GPtrArray) endpoints = g_ptr_array_new_with_free_func(cw_message_free);
	Caraway__Vm vm = CARAWAY__VM__INIT;
	cw_catalog_t *catalog = cw_catalog_new();
	view_t *view;

	for (uint32_t i = 0; i < count; i++) {
		Caraway__Endpoint endpoint = CARAWAY__ENDPOINT__INIT;
		g_autofree char *name = g_strdup_printf("vm%u", i);
		g_autofree char *address = g_strdup_printf("127.0.0.1:%u", first_port + i);

		endpoint.vm = name;
		endpoint.zone = "zone";
		endpoint.service = (char *)service;
		endpoint.call_address = address;
		endpoint.incarnation = version;
		endpoint.slots = 12;
		g_ptr_array_add(endpoints, cw_message_copy(&endpoint.base));
	}
	cw_catalog_apply(catalog, content, version, version);
	view = view_new(catalog, &vm, endpoints);
	cw_catalog_free(catalog);
	return view;
}

/* Returns a view with one route to a service with count endpoints; version is also the route's timeout. */
static view_t *new_view(uint64_t version, const char *service, uint32_t first_port, uint32_t count)
{
	Caraway__Content content = CARAWAY__CONTENT__INIT;
	Caraway__Route route = CARAWAY__ROUTE__INIT;
	Caraway__Route *routes[] = {&route};

	route.name = "route";
	route.path = "/x";
	route.service = (char *)service;
	route.timeout_ms = (uint32_t)version;
	content.n_routes = 1;
	content.routes = routes;
	return new_view_of_content(&content, version, service, first_port, count);
}

/* Of routes with one path, that for the host of the call comes before one for any host, whatever their names. */
START_TEST(test_host_before_any_host)
{
	published_view_t *published_view = published_view_new();
	Caraway__Content content = CARAWAY__CONTENT__INIT;
	Caraway__Route any_host = CARAWAY__ROUTE__INIT;
	Caraway__Route this_host = CARAWAY__ROUTE__INIT;
	Caraway__Route *routes[] = {&any_host, &this_host};
	endpoints_t endpoints;

	any_host.name = "a";
	any_host.path = this_host.path = "/x";
	any_host.service = this_host.service = "service";
	this_host.name = "b";
	this_host.host = "tabla.example";
	content.n_routes = G_N_ELEMENTS(routes);
	content.routes = routes;
	urcu_memb_register_thread();
	published_view_replace(published_view, new_view_of_content(&content, 1, "service", 1, 1));
	endpoints_lookup(&endpoints, published_view, "tabla.example", "/x", 0);
	ck_assert_str_eq(endpoints.route->name, "b");
	endpoints_clear(&endpoints);
	endpoints_lookup(&endpoints, published_view, "other.example", "/x", 0);
	ck_assert_str_eq(endpoints.route->name, "a");
	endpoints_clear(&endpoints);
	published_view_free(published_view);
	urcu_memb_unregister_thread();
}
END_TEST

/* A call uses one version of the view to its end; a version published meanwhile applies to later calls. */
START_TEST(test_one_version)
{
	published_view_t *published_view = published_view_new();
	cw_pick_t *pick = cw_pick_new("zone", 1);
	const cw_pick_call_t pick_call = {0};
	endpoints_t before, after;
	const endpoint_t *chosen;
	cw_reason_t reason;

	urcu_memb_register_thread();
	published_view_replace(published_view, new_view(1, "old", 1, 1));
	endpoints_lookup(&before, published_view, "any:80", "/x/y?q=1", 0);
	published_view_replace(published_view, new_view(2, "new", 2, 1));
	endpoints_lookup(&after, published_view, "any:80", "/x/y?q=1", 0);
	chosen = endpoints_choose(&before, pick, &pick_call, 0, &reason);
	ck_assert_uint_eq(before.view->version, 1);
	ck_assert_uint_eq(before.timeout_ms, 1);
	ck_assert_str_eq(before.service, "old");
	ck_assert_str_eq(chosen->address, "127.0.0.1:1");
	ck_assert_ptr_null(endpoints_choose(&before, pick, &pick_call, 0, &reason));
	endpoints_reset_tried(&before);
	chosen = endpoints_choose(&before, pick, &pick_call, 0, &reason);
	ck_assert_uint_eq(chosen->incarnation, 1);
	ck_assert_uint_eq(after.view->version, 2);
	ck_assert_str_eq(after.service, "new");
	ck_assert_str_eq(after.endpoints[0].address, "127.0.0.1:2");
	endpoints_clear(&before);
	endpoints_clear(&after);
	published_view_free(published_view);
	cw_pick_free(pick);
	urcu_memb_unregister_thread();
}
END_TEST

/* A call is refused with no-config before the first view, and with no-route for a path without a route. */
START_TEST(test_no_route)
{
	published_view_t *published_view = published_view_new();
	endpoints_t endpoints;

	urcu_memb_register_thread();
	endpoints_lookup(&endpoints, published_view, NULL, "/x", 0);
	ck_assert_int_eq(endpoints.refusal, CW_REASON_NO_CONFIG);
	endpoints_clear(&endpoints);
	published_view_replace(published_view, new_view(1, "s", 1, 1));
	endpoints_lookup(&endpoints, published_view, NULL, "/xy", 0);
	ck_assert_int_eq(endpoints.refusal, CW_REASON_NO_ROUTE);
	endpoints_clear(&endpoints);
	published_view_free(published_view);
	urcu_memb_unregister_thread();
}
END_TEST

/* CONFIG: a path without a route is refused with config-stale, a 503, when there may be a newer configuration. */
START_TEST(test_no_route_when_stale)
{
	published_view_t *published_view = published_view_new();
	endpoints_t endpoints;

	urcu_memb_register_thread();
	published_view_replace(published_view, new_view(1, "s", 1, 1));
	published_view_set_current_until(published_view, clock_now_ms());
	endpoints_lookup(&endpoints, published_view, NULL, "/xy", 0);
	ck_assert_int_eq(endpoints.refusal, CW_REASON_CONFIG_STALE);
	ck_assert_uint_eq(cw_reason_http_status(endpoints.refusal), 503);
	endpoints_clear(&endpoints);
	published_view_set_current_until(published_view, clock_now_ms() + CURRENT_MS);
	endpoints_lookup(&endpoints, published_view, NULL, "/xy", 0);
	ck_assert_int_eq(endpoints.refusal, CW_REASON_NO_ROUTE);
	endpoints_clear(&endpoints);
	published_view_free(published_view);
	urcu_memb_unregister_thread();
}
END_TEST

/* The route with the longest matching path prefix is chosen; one without a host serves the other hosts. */
START_TEST(test_hosts)
{
	Caraway__Content content = CARAWAY__CONTENT__INIT;
	Caraway__Route any = CARAWAY__ROUTE__INIT, host = CARAWAY__ROUTE__INIT, longer = CARAWAY__ROUTE__INIT;
	Caraway__Route *routes[] = {&any, &host, &longer};
	view_t *view;

	any.name = any.service = "any";
	any.path = "/a/";
	host.name = host.service = "host";
	host.host = longer.host = "one.example";
	host.path = "/a/";
	longer.name = longer.service = "longer";
	longer.path = "/a/b/";
	content.n_routes = G_N_ELEMENTS(routes);
	content.routes = routes;
	view = new_view_of_content(&content, 1, "any", 1, 1);
	ck_assert_str_eq(view_find_route(view, "One.Example", "/a/b/c")->name, "longer");
	ck_assert_str_eq(view_find_route(view, "two.example", "/a/b/c")->name, "any");
	ck_assert_ptr_null(view_find_route(view, "two.example", "/a"));
	view_unref(view);
}
END_TEST

/* The calls of a route are split between services by weight; a service with weight 0 gets none. */
START_TEST(test_split)
{
	Caraway__Content content = CARAWAY__CONTENT__INIT;
	Caraway__Route route = CARAWAY__ROUTE__INIT;
	Caraway__Split most = CARAWAY__SPLIT__INIT, some = CARAWAY__SPLIT__INIT, none = CARAWAY__SPLIT__INIT;
	Caraway__Split *splits[] = {&none, &most, &some};
	Caraway__Route *routes[] = {&route};
	unsigned counts[2] = {0};
	view_t *view;

	none.service = "none";
	most.service = "most";
	most.weight = 90;
	some.service = "some";
	some.weight = 10;
	route.name = "route";
	route.path = "/";
	route.splits = splits;
	route.n_splits = G_N_ELEMENTS(splits);
	content.n_routes = 1;
	content.routes = routes;
	view = new_view_of_content(&content, 1, "most", 1, 1);
	for (int i = 0; i < CALLS; i++) {
		const char *service =
			view_choose_destination(view->routes, (double)i / CALLS)->group->service;

		ck_assert_str_ne(service, "none");
		counts[g_str_equal(service, "some")]++;
	}
	ck_assert_uint_eq(counts[0], 900);
	ck_assert_uint_eq(counts[1], 100);
	view_unref(view);
}
END_TEST

/* Reports that no call in flight uses an address. */
static bool never_in_use(const void *data, const char *address)
{
	(void)data;
	(void)address;
	return false;
}

/* Publishes a view with count endpoints and updates the connections; returns how many are open. */
static size_t publish_and_update(published_view_t *published_view, link_clients_t *clients,
				 uint64_t *seen_serial, uint32_t count)
{
	const view_t *view;

	published_view_replace(published_view, new_view(1, "s", 1, count));
	view = endpoints_poll_view(seen_serial, published_view);
	ck_assert_ptr_nonnull(view);
	ck_assert_ptr_null(endpoints_poll_view(seen_serial, published_view));
	endpoint_links_update(view, 7, clients, never_in_use, NULL);
	view_unref(view);
	return link_clients_count(clients);
}

/* At most 64 connections are opened in advance, and those to endpoints that are gone are closed. */
START_TEST(test_links)
{
	link_context_t *context = link_context_new();
	link_clients_t *clients = link_clients_new(context);
	published_view_t *published_view = published_view_new();
	uint64_t seen_serial = 0;

	urcu_memb_register_thread();
	ck_assert_uint_eq(publish_and_update(published_view, clients, &seen_serial, 5), 5);
	ck_assert_uint_eq(publish_and_update(published_view, clients, &seen_serial, 300), 64);
	link_clients_connect(clients, "127.0.0.1:999"); /* opened by a call to an endpoint that is gone now */
	ck_assert_uint_eq(publish_and_update(published_view, clients, &seen_serial, 300), 64);
	ck_assert_uint_eq(publish_and_update(published_view, clients, &seen_serial, 5), 5);
	urcu_memb_unregister_thread();
	published_view_free(published_view);
	link_clients_free(clients);
	link_context_free(context);
}
END_TEST

/* A call is refused with no-config, not no-route, while the published view has no routes at all. */
START_TEST(test_view_without_routes)
{
	Caraway__Content content = CARAWAY__CONTENT__INIT;
	published_view_t *published_view = published_view_new();
	endpoints_t endpoints;

	urcu_memb_register_thread();
	published_view_replace(published_view, new_view_of_content(&content, 1, "new", 1, 1));
	endpoints_lookup(&endpoints, published_view, "any", "/x", 0);
	ck_assert_int_eq(endpoints.refusal, CW_REASON_NO_CONFIG);
	endpoints_clear(&endpoints);
	urcu_memb_unregister_thread();
	published_view_free(published_view);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("endpoints");
	TCase *tcase = tcase_create("endpoints");

	tcase_add_test(tcase, test_host_before_any_host);
	tcase_add_test(tcase, test_one_version);
	tcase_add_test(tcase, test_no_route);
	tcase_add_test(tcase, test_no_route_when_stale);
	tcase_add_test(tcase, test_hosts);
	tcase_add_test(tcase, test_split);
	tcase_add_test(tcase, test_links);
	tcase_add_test(tcase, test_view_without_routes);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
