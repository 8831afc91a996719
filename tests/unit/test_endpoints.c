/* What a call copies out of the published view: one version from beginning to end. */
#include <check.h>
#include <urcu/urcu-memb.h>

#include "endpoints.h"
#include "script.h"

/* Returns a view of a version with one route to a service that has one endpoint. */
static view_t *new_view(uint64_t version, const char *service, const char *address)
{
	view_t *view = g_new0(view_t, 1);

	view->version = version;
	view->endpoint_count = 1;
	view->endpoints = g_new0(view_endpoint_t, 1);
	view->endpoints[0] = (view_endpoint_t){.vm = g_strdup("vm"),
					       .zone = g_strdup("zone"),
					       .service = g_strdup(service),
					       .call_address = g_strdup(address),
					       .incarnation = version,
					       .slots = 12};
	view->route_count = 1;
	view->routes = g_new0(view_route_t, 1);
	view->routes[0] = (view_route_t){.name = g_strdup("route"),
					 .path = g_strdup("/x"),
					 .service = g_strdup(service),
					 .timeout_ms = (uint32_t)version,
					 .endpoints = g_new0(uint32_t, 1),
					 .endpoint_count = 1};
	return view;
}

/* A view published during a call changes nothing for that call; the next call sees all of it. */
START_TEST(test_one_version)
{
	view_slot_t *slot = view_slot_new();
	cw_pick_t *pick = cw_pick_new("zone", 1);
	endpoints_t before, after;
	const endpoint_t *chosen;

	urcu_memb_register_thread();
	view_slot_publish(slot, new_view(1, "old", "127.0.0.1:1"));
	endpoints_read(&before, slot, "/x/y?q=1");
	view_slot_publish(slot, new_view(2, "new", "127.0.0.1:2"));
	endpoints_read(&after, slot, "/x/y?q=1");
	chosen = endpoints_choose(&before, pick, 0);
	ck_assert_uint_eq(before.version, 1);
	ck_assert_uint_eq(before.timeout_ms, 1);
	ck_assert_str_eq(before.service, "old");
	ck_assert_str_eq(chosen->address, "127.0.0.1:1");
	ck_assert_ptr_null(endpoints_choose(&before, pick, 0));
	endpoints_forget_tried(&before);
	chosen = endpoints_choose(&before, pick, 0);
	ck_assert_uint_eq(chosen->incarnation, 1);
	ck_assert_uint_eq(after.version, 2);
	ck_assert_str_eq(after.service, "new");
	ck_assert_str_eq(after.endpoints[0].address, "127.0.0.1:2");
	endpoints_clear(&before);
	endpoints_clear(&after);
	view_slot_free(slot);
	cw_pick_free(pick);
	urcu_memb_unregister_thread();
}
END_TEST

/* Before the first configuration, and for a path without a route, a call is refused with the reason. */
START_TEST(test_no_route)
{
	view_slot_t *slot = view_slot_new();
	endpoints_t endpoints;

	urcu_memb_register_thread();
	endpoints_read(&endpoints, slot, "/x");
	ck_assert_int_eq(endpoints.refusal, CW_REASON_NO_CONFIG);
	endpoints_clear(&endpoints);
	view_slot_publish(slot, new_view(1, "s", "127.0.0.1:1"));
	endpoints_read(&endpoints, slot, "/xy");
	ck_assert_int_eq(endpoints.refusal, CW_REASON_NO_ROUTE);
	endpoints_clear(&endpoints);
	view_slot_free(slot);
	urcu_memb_unregister_thread();
}
END_TEST

/* Adds endpoints to the route of a view, on ports that follow the first. */
static void add_endpoints(view_t *view, uint32_t count)
{
	view->endpoints = g_renew(view_endpoint_t, view->endpoints, count);
	view->routes[0].endpoints = g_renew(uint32_t, view->routes[0].endpoints, count);
	for (uint32_t i = 1; i < count; i++) {
		view->endpoints[i] =
			(view_endpoint_t){.vm = g_strdup_printf("vm%u", i),
					  .call_address = g_strdup_printf("127.0.0.1:%u", i + 1)};
		view->routes[0].endpoints[i] = i;
	}
	view->endpoint_count = count;
	view->routes[0].endpoint_count = count;
}

/* Says that no call uses an address. */
static bool unused(const void *data, const char *address)
{
	(void)data;
	(void)address;
	return false;
}

/* Publishes a view with so many endpoints; returns how many connections are open once it is followed. */
static size_t follow(view_slot_t *slot, link_clients_t *clients, uint64_t *seen, uint32_t count)
{
	view_t *view = new_view(1, "s", "127.0.0.1:1");
	void *sockets[512];

	add_endpoints(view, count);
	view->serial = *seen + 1;
	view_slot_publish(slot, view);
	endpoint_links_follow(seen, 7, slot, clients, unused, NULL);
	return link_clients_sockets(clients, sockets, G_N_ELEMENTS(sockets));
}

/* Few connections are made ahead however many endpoints there are, and none stays to an endpoint that is gone. */
START_TEST(test_links)
{
	link_context_t *context = link_context_new();
	link_clients_t *clients = link_clients_new(context);
	view_slot_t *slot = view_slot_new();
	uint64_t seen = 0;

	urcu_memb_register_thread();
	ck_assert_uint_eq(follow(slot, clients, &seen, 5), 5);
	ck_assert_uint_eq(follow(slot, clients, &seen, 300), 64);
	link_clients_connect(clients,
			     "127.0.0.1:999"); /* opened by a call, to an endpoint that is gone since */
	ck_assert_uint_eq(follow(slot, clients, &seen, 300), 64);
	ck_assert_uint_eq(follow(slot, clients, &seen, 5), 5);
	urcu_memb_unregister_thread();
	view_slot_free(slot);
	link_clients_free(clients);
	link_context_free(context);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("endpoints");
	TCase *tcase = tcase_create("endpoints");

	tcase_add_test(tcase, test_one_version);
	tcase_add_test(tcase, test_no_route);
	tcase_add_test(tcase, test_links);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
