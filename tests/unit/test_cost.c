/* Scripted tests of the costs of calls and the speed of a target. */
#include <stdlib.h>

#include "libcaraway.h"
#include "script.h"

enum { SLOTS = 9 }; /* in which calls run at once */

/* State that the commands of a script operate on. */
typedef struct {
	cw_cost_t *cost;
	int64_t now_ms;
} run_t;

/* "answered|failed COUNT MS ROUTE [ACCOUNT [BODY]]": that many calls end. */
static void run_ended(run_t *run, char **argv, const cw_cost_call_t *call)
{
	for (int i = 0; i < atoi(argv[1]); i++) {
		double took_ms = atof(argv[2]);

		run->now_ms += (int64_t)took_ms / SLOTS;
		cw_cost_expect_answers(run->cost, cw_cost_answers_by(run->cost, call, took_ms), run->now_ms);
		if (g_str_equal(argv[0], "answered"))
			cw_cost_answered(run->cost, call, took_ms, run->now_ms);
		else
			cw_cost_failed(run->cost, call, took_ms, run->now_ms);
	}
}

/* "pairs COUNT ROUTE MS ACCOUNT BODY MS ACCOUNT BODY": that many pairs of answers, in turn. */
static void run_pairs(run_t *run, char **argv)
{
	for (int i = 0; i < 2 * atoi(argv[1]); i++) {
		char **second = argv + 3 * (i % 2);
		const cw_cost_call_t call = {.route = strtoull(argv[2], NULL, 10),
					     .account = strtoull(second[4], NULL, 10),
					     .body_bytes = (uint32_t)atoi(second[5])};

		char *answer[] = {"answered", "1", second[3], NULL};

		run_ended(run, answer, &call);
	}
}

/*
 * The commands above, "accounts COUNT MS ROUTE": one answer for each account, "routes COUNT MS": one answer for each
 * route from 10 on, "cost 0 0 ROUTE [ACCOUNT [BODY]]", "rest 0 MS ROUTE", "speed", and "classes".
 */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	run_t *run = data;
	cw_cost_call_t call = {.route = argc > 3 ? strtoull(argv[3], NULL, 10) : 0,
			       .account = argc > 4 ? strtoull(argv[4], NULL, 10) : 0,
			       .body_bytes = argc > 5 ? (uint32_t)atoi(argv[5]) : 0};

	if (g_str_equal(argv[0], "pairs")) {
		run_pairs(run, argv);
	} else if (g_str_equal(argv[0], "accounts")) {
		for (call.account = 1; call.account <= strtoull(argv[1], NULL, 10); call.account++)
			cw_cost_answered(run->cost, &call, atof(argv[2]), ++run->now_ms);
	} else if (g_str_equal(argv[0], "routes")) {
		for (call.route = 10; call.route < 10 + strtoull(argv[1], NULL, 10); call.route++)
			cw_cost_answered(run->cost, &call, atof(argv[2]), ++run->now_ms);
	} else if (g_str_equal(argv[0], "answered") || g_str_equal(argv[0], "failed")) {
		run_ended(run, argv, &call);
	} else if (g_str_equal(argv[0], "cost")) {
		g_string_append_printf(out, "%.0f ms\n", cw_cost_expected_ms(run->cost, &call));
	} else if (g_str_equal(argv[0], "rest")) {
		g_string_append_printf(out, "%.0f ms\n", cw_cost_rest_ms(run->cost, &call, atof(argv[2])));
	} else if (g_str_equal(argv[0], "speed")) {
		g_string_append_printf(out, "%.2f\n", cw_cost_speed(run->cost));
	} else if (g_str_equal(argv[0], "classes")) {
		g_string_append_printf(out, "%zu\n", cw_cost_count(run->cost));
	} else {
		g_string_append_printf(out, "unknown command %s\n", argv[0]);
	}
}

/* Runs one script of tests/cost. */
START_TEST(test_script)
{
	run_t run = {.cost = cw_cost_new()};

	script_assert("tests/cost", _i, run_command, &run);
	cw_cost_free(run.cost);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	return script_main("tests/cost", test_script, 30);
}
