/* Tests of the sending side of calls on a view whose only endpoint does not exist. */
#include <check.h>
#include <string.h>
#include <unistd.h>
#include <urcu/urcu-memb.h>

#include "clock.h"
#include "forward.h"
#include "script.h"

enum { CALLS = 12, TIMEOUT_MS = 200, POLL_US = 1000, TIMEOUT_S = 30 };

/* The sending side of a proxy and the calls that one caller has pipelined. */
typedef struct {
	proxy_settings_t settings;
	link_context_t *context;
	link_clients_t *clients;
	published_view_t *published_view;
	forward_t *forward;
	forward_call_t *handles[CALLS]; /* NULL: the call has ended */
	int ended;
} fixture_t;

/* Fails the test: no endpoint is this proxy. */
static void fail_on_local(void *data, Caraway__Message *message)
{
	(void)data;
	(void)message;
	ck_abort_msg("a message for this proxy");
}

/* Cancels the caller's other calls, as the close of its connection does when it has left. */
static void cancel_others(void *data, void *cookie, const forward_outcome_t *outcome)
{
	fixture_t *fixture = data;

	(void)cookie;
	ck_assert_int_eq(outcome->outcome, CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN);
	fixture->ended++;
	for (int i = 0; i < CALLS; i++)
		if (fixture->handles[i])
			forward_cancel_call(fixture->forward, fixture->handles[i]);
}

/* Does nothing. */
static void ignore_view(void *data, const view_t *view)
{
	(void)data;
	(void)view;
}

/* Returns that this proxy's target takes no calls. */
static bool no_own_load(void *data, uint64_t route, uint32_t priority, cw_pick_load_t *load)
{
	(void)data;
	(void)route;
	(void)priority;
	(void)load;
	return false;
}

/* Returns a view with a route to one endpoint, whose port nobody listens on. */
static view_t *new_view(void)
{
	g_autoptr(GPtrArray) endpoints = g_ptr_array_new();
	Caraway__Endpoint endpoint = CARAWAY__ENDPOINT__INIT;
	Caraway__Content content = CARAWAY__CONTENT__INIT;
	Caraway__Route route = CARAWAY__ROUTE__INIT;
	Caraway__Route *routes[] = {&route};
	Caraway__Vm vm = CARAWAY__VM__INIT;
	cw_catalog_t *catalog = cw_catalog_new();
	view_t *view;

	route.name = "route";
	route.path = "/";
	route.service = endpoint.service = "s";
	content.n_routes = 1;
	content.routes = routes;
	endpoint.vm = "vm";
	endpoint.zone = "zone";
	endpoint.call_address = "127.0.0.1:1";
	endpoint.incarnation = 1;
	endpoint.slots = 1;
	g_ptr_array_add(endpoints, &endpoint);
	cw_catalog_apply(catalog, &content, 1, 1);
	view = view_new(catalog, &vm, endpoints);
	cw_catalog_free(catalog);
	return view;
}

/* Creates the sending side with the view. */
static void set_up(fixture_t *fixture)
{
	const forward_callbacks_t callbacks = {.send_local = fail_on_local,
					       .done = cancel_others,
					       .view_changed = ignore_view,
					       .own_load = no_own_load,
					       .data = fixture};

	*fixture =
		(fixture_t){.settings = {.vm = "origin",
					 .zone = "zone",
					 .timeout_ms = TIMEOUT_MS,
					 .headers = {.deadline = "Deadline", .request_id = "X-Request-Id"}}};
	fixture->context = link_context_new();
	fixture->clients = link_clients_new(fixture->context);
	fixture->published_view = published_view_new();
	published_view_replace(fixture->published_view, new_view());
	fixture->forward =
		forward_new(&fixture->settings, 7, fixture->published_view, fixture->clients, &callbacks);
	forward_run(fixture->forward);
}

/* Frees the sending side and what it used. */
static void tear_down(fixture_t *fixture)
{
	forward_free(fixture->forward);
	published_view_free(fixture->published_view);
	link_clients_free(fixture->clients);
	link_context_free(fixture->context);
}

/* Starts a call. */
static void start_call(fixture_t *fixture, forward_call_t **handle)
{
	Caraway__CallRequest *request = g_new(Caraway__CallRequest, 1);

	caraway__call_request__init(request);
	request->method = g_strdup("GET");
	request->path = g_strdup("/");
	forward_start_call(fixture->forward, request, NULL, TIMEOUT_MS, NULL, handle);
}

/* LOST: a call that ends by its timer cancels the others of its caller, whose timers are due in the same pass. */
START_TEST(test_cancelled_in_pass)
{
	fixture_t fixture;
	int64_t end_ms;

	urcu_memb_register_thread();
	set_up(&fixture);
	for (int i = 0; i < CALLS; i++)
		start_call(&fixture, &fixture.handles[i]);
	ck_assert_uint_eq(forward_in_flight(fixture.forward), CALLS);
	end_ms = clock_now_ms() + 2 * TIMEOUT_MS;
	usleep(TIMEOUT_MS * 1000); /* so that all timers are due in one pass */
	while (forward_in_flight(fixture.forward) && clock_now_ms() < end_ms) {
		forward_run(fixture.forward);
		usleep(POLL_US);
	}
	ck_assert_uint_eq(forward_in_flight(fixture.forward), 0);
	ck_assert_int_eq(fixture.ended, 1);
	tear_down(&fixture);
	urcu_memb_unregister_thread();
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("forward");
	TCase *tcase = tcase_create("forward");

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, test_cancelled_in_pass);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
