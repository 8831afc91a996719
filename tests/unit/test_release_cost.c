/* Tests that a change of a configuration costs what the change is, not what the configuration is. */
#include <check.h>
#include <string.h>
#include <time.h>

#include "libcaraway.h"
#include "script.h"

enum { SMALL = 500, LARGE = 8000, RATIO = 4, CHANGES = 30 };

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

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("release_cost");
	TCase *tcase = tcase_create("release_cost");

	tcase_add_test(tcase, test_change_costs_the_same_in_a_large_configuration);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
