/* Tests of what it costs to apply a change, and that one applied in parts has an effect at its end alone. */
#include <check.h>
#include <string.h>
#include <time.h>

#include "libcaraway.h"
#include "script.h"

enum { SMALL = 500, LARGE = 8000, RATIO = 4, CHANGES = 30, FEW = 20 };

/* Returns the processor time of this thread in microseconds. */
static double cpu_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
	return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

/* Appends a route, whose priority is that of its last change. */
static void append_route(Caraway__Content *content, unsigned number, unsigned priority)
{
	Caraway__Route *route = malloc(sizeof(*route));

	caraway__route__init(route);
	route->name = g_strdup_printf("r-%u", number);
	route->path = g_strdup_printf("/%u/", number);
	route->host = strdup("a.example");
	route->service = strdup("s");
	route->timeout_ms = 1000;
	route->priority = priority;
	content->routes[content->n_routes++] = route;
}

/* Returns a command that puts the first routes of a configuration in force, with one service when it is the first. */
static Caraway__Command *command_new(unsigned release, unsigned routes)
{
	Caraway__Command *command = malloc(sizeof(*command));
	Caraway__Replace *replace = malloc(sizeof(*replace));
	Caraway__Content *content = malloc(sizeof(*content));

	caraway__command__init(command);
	caraway__replace__init(replace);
	caraway__content__init(content);
	content->title = strdup("release");
	content->routes = cw_message_array(routes);
	if (release == 1) {
		content->services = cw_message_array(1);
		content->services[content->n_services++] = malloc(sizeof(Caraway__Service));
		caraway__service__init(content->services[0]);
		content->services[0]->name = strdup("s");
	}
	for (unsigned i = 0; i < routes; i++)
		append_route(content, i, release);
	replace->operator_name = strdup("anna");
	replace->approval = strdup("standing");
	replace->release = release;
	replace->base_release = release - 1;
	replace->digest = release;
	replace->content = content;
	command->body_case = CARAWAY__COMMAND__BODY_REPLACE;
	command->replace = replace;
	return command;
}

/* Applies a command and returns the processor time that it took, in microseconds. */
static double apply(cw_ledger_t *ledger, unsigned release, unsigned routes)
{
	Caraway__Command *command = command_new(release, routes);
	double start_us = cpu_us();

	ck_assert_int_eq(cw_ledger_apply(ledger, command, NULL), CW_OK);
	start_us = cpu_us() - start_us;
	cw_message_free(command);
	return start_us;
}

/* Returns the least time that a change of one route takes in a configuration of a number of routes. */
static double change_us(unsigned routes)
{
	cw_ledger_t *ledger = cw_ledger_new(100);
	Caraway__Vm vm = CARAWAY__VM__INIT;
	double least_us = G_MAXDOUBLE;

	vm.name = (char *)"v1";
	vm.zone = (char *)"eger";
	cw_feed_set_vm(cw_ledger_feed(ledger), &vm);
	apply(ledger, 1, routes);
	for (unsigned release = 2; release < 2 + CHANGES; release++) {
		double took_us = apply(ledger, release, 1);

		least_us = MIN(least_us, took_us);
	}
	cw_ledger_free(ledger);
	return least_us;
}

/* CONFIG: every replica was held for as long as a whole configuration takes by each change of one route. */
START_TEST(test_change_costs_the_same_in_a_large_configuration)
{
	double small_us = change_us(SMALL);
	double large_us = change_us(LARGE);

	ck_assert_msg(large_us <= RATIO * small_us, "%.0f us of %d routes, %.0f us of %d", large_us, LARGE,
		      small_us, SMALL);
}
END_TEST

/* Applies a command a section at a time; the ledger must stay as it is until the end. */
static cw_status_t apply_in_parts(cw_ledger_t *ledger, Caraway__Command *command, unsigned *parts)
{
	g_autoptr(GBytes) before = cw_ledger_save(ledger);
	cw_ledger_job_t *job = cw_ledger_job_new(ledger, command);
	size_t budget = 1;

	for (*parts = 1; !cw_ledger_job_continue(job, &budget); ++*parts, budget = 1) {
		g_autoptr(GBytes) meanwhile = cw_ledger_save(ledger);

		ck_assert(g_bytes_equal(before, meanwhile));
	}
	return cw_ledger_job_finish(job, NULL);
}

/* A command in parts has the outcome of one at once, and no effect before its end. */
START_TEST(test_parts_add_up)
{
	cw_ledger_t *at_once = cw_ledger_new(100);
	cw_ledger_t *in_parts = cw_ledger_new(100);
	Caraway__Vm vm = CARAWAY__VM__INIT;
	unsigned parts;

	vm.name = (char *)"v1";
	vm.zone = (char *)"eger";
	cw_feed_set_vm(cw_ledger_feed(at_once), &vm);
	cw_feed_set_vm(cw_ledger_feed(in_parts), &vm);
	for (unsigned release = 1; release <= 3; release++) {
		g_autoptr(GBytes) left = NULL;
		g_autoptr(GBytes) right = NULL;

		apply(at_once, release, FEW * release);
		ck_assert_int_eq(apply_in_parts(in_parts, command_new(release, FEW * release), &parts),
				 CW_OK);
		ck_assert_uint_gt(parts, FEW * release);
		left = cw_ledger_save(at_once);
		right = cw_ledger_save(in_parts);
		ck_assert(g_bytes_equal(left, right));
	}
	cw_ledger_free(at_once);
	cw_ledger_free(in_parts);
}
END_TEST

/* A command that fails in its last part, or is given up, leaves the ledger as it was. */
START_TEST(test_failed_parts_have_no_effect)
{
	cw_ledger_t *ledger = cw_ledger_new(100);
	Caraway__Vm vm = CARAWAY__VM__INIT;
	Caraway__Command *command = command_new(2, FEW);
	g_autoptr(GBytes) before = NULL;
	g_autoptr(GBytes) after = NULL;
	size_t budget = FEW + 1;
	cw_ledger_job_t *given_up;
	unsigned parts;

	vm.name = (char *)"v1";
	cw_feed_set_vm(cw_ledger_feed(ledger), &vm);
	apply(ledger, 1, FEW);
	before = cw_ledger_save(ledger);
	free(command->replace->content->routes[FEW - 1]->service);
	command->replace->content->routes[FEW - 1]->service = strdup("missing");
	ck_assert_int_eq(apply_in_parts(ledger, command, &parts), CW_ERR_CHECK);
	ck_assert_str_eq(cw_last_error_message(), "proxy v1: route r-19 would lack service missing");
	given_up = cw_ledger_job_new(ledger, command_new(2, FEW));
	ck_assert(!cw_ledger_job_continue(given_up, &budget));
	cw_ledger_job_free(given_up);
	after = cw_ledger_save(ledger);
	ck_assert(g_bytes_equal(before, after));
	cw_ledger_free(ledger);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("release_cost");
	TCase *tcase = tcase_create("release_cost");

	tcase_add_test(tcase, test_change_costs_the_same_in_a_large_configuration);
	tcase_add_test(tcase, test_parts_add_up);
	tcase_add_test(tcase, test_failed_parts_have_no_effect);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
