/* Scripted tests of endpoint selection. */
#include <check.h>
#include <stdlib.h>

#include "libcaraway.h"
#include "script.h"

enum { MAX_CANDIDATES = 8 };

/* State that the commands of a script operate on. */
typedef struct {
	cw_pick_t *pick;
	cw_candidate_t candidates[MAX_CANDIDATES];
	size_t count;	     /* of candidates */
	GPtrArray *strings;  /* char *, owned; vm and zone of the candidates */
	cw_pick_call_t call; /* that endpoints are chosen for */
	cw_pick_load_t own_load;
	int64_t now_ms;
} run_t;

/* Maps the name of a result in scripts to the result. */
typedef struct {
	const char *name;
	cw_pick_result_t result;
} result_name_t;

static const result_name_t result_names[] = {
	{"answered", CW_PICK_ANSWERED}, {"shed", CW_PICK_TARGET_OVERLOADED},  {"error", CW_PICK_ERROR},
	{"refused", CW_PICK_REFUSED},	{"unavailable", CW_PICK_UNAVAILABLE}, {"failed", CW_PICK_FAILED},
	{"revoked", CW_PICK_REVOKED},
};

/* Returns the candidate on a VM, or NULL. */
static cw_candidate_t *find_candidate(run_t *run, const char *vm)
{
	for (size_t i = 0; i < run->count; i++)
		if (g_str_equal(run->candidates[i].vm, vm))
			return &run->candidates[i];
	return NULL;
}

/* "endpoint VM ZONE INCARNATION SLOTS": adds or replaces a candidate. */
static void run_endpoint(run_t *run, char **argv)
{
	cw_candidate_t *candidate = find_candidate(run, argv[1]);
	char *vm = g_strdup(argv[1]), *zone = g_strdup(argv[2]);

	g_ptr_array_add(run->strings, vm);
	g_ptr_array_add(run->strings, zone);
	if (!candidate)
		candidate = &run->candidates[run->count++];
	*candidate = (cw_candidate_t){.vm = vm,
				      .zone = zone,
				      .incarnation = strtoull(argv[3], NULL, 10),
				      .slots = (uint32_t)atoi(argv[4])};
}

/* "choose N": chooses N times without sending; prints how often each endpoint was chosen. */
static void run_choose(run_t *run, char **argv, GString *out)
{
	unsigned chosen[MAX_CANDIDATES] = {0};

	for (int i = 0; i < atoi(argv[1]); i++) {
		int index = cw_pick_choose(run->pick, run->candidates, run->count, &run->call, run->now_ms);

		if (index < 0) {
			g_string_append(out, index == CW_PICK_CROWDED ? "crowded\n" : "none\n");
			return;
		}
		chosen[index]++;
	}
	for (size_t i = 0; i < run->count; i++)
		g_string_append_printf(out, "%s %u\n", run->candidates[i].vm, chosen[i]);
}

/* "offered N": chooses N times without sending; prints for how many calls an endpoint was chosen. */
static void run_offered(run_t *run, char **argv, GString *out)
{
	int sent = 0;

	for (int i = 0; i < atoi(argv[1]); i++)
		sent += cw_pick_choose(run->pick, run->candidates, run->count, &run->call, run->now_ms) >= 0;
	g_string_append_printf(out, "sent %d\n", sent);
}

/* "own VM IN_USE SLOTS WAIT_MS": the endpoint of the proxy itself, with its present load. */
static void run_own(run_t *run, char **argv)
{
	find_candidate(run, argv[1])->own = true;
	run->own_load = (cw_pick_load_t){.in_use = (uint32_t)atoi(argv[2]),
					 .slots = (uint32_t)atoi(argv[3]),
					 .wait_ms = (uint32_t)atoi(argv[4])};
	run->call.own_load = &run->own_load;
}

/* "send N": chooses and sends N calls; prints how many each endpoint was sent. */
static void run_send(run_t *run, char **argv, GString *out)
{
	unsigned chosen[MAX_CANDIDATES] = {0};

	for (int i = 0; i < atoi(argv[1]); i++) {
		int index = cw_pick_choose(run->pick, run->candidates, run->count, &run->call, run->now_ms);

		cw_pick_sent(run->pick, run->candidates[index].vm, run->candidates[index].incarnation,
			     run->call.route);
		chosen[index]++;
	}
	for (size_t i = 0; i < run->count; i++)
		g_string_append_printf(out, "%s %u\n", run->candidates[i].vm, chosen[i]);
}

/*
 * "ended VM RESULT IN_USE SLOTS [TIMES [SERVICE_MS WAIT_MS [short|long [OVERHEAD_MS]]]]": reports that TIMES
 * attempts had the RESULT.
 */
static void run_ended(run_t *run, int argc, char **argv)
{
	const cw_candidate_t *candidate = find_candidate(run, argv[1]);
	const cw_pick_load_t load = {.in_use = (uint32_t)atoi(argv[3]),
				     .slots = (uint32_t)atoi(argv[4]),
				     .route = run->call.route,
				     .service_ms = argc > 7 ? (uint32_t)atoi(argv[6]) : 0,
				     .wait_ms = argc > 7 ? (uint32_t)atoi(argv[7]) : 0,
				     .short_call = argc > 8 && g_str_equal(argv[8], "short"),
				     .overhead_ms = argc > 9 ? (uint32_t)atoi(argv[9]) : 0};

	for (size_t i = 0; i < G_N_ELEMENTS(result_names); i++)
		for (int j = 0; j < (argc > 5 ? atoi(argv[5]) : 1); j++)
			if (g_str_equal(argv[2], result_names[i].name))
				cw_pick_ended(run->pick, candidate->vm, candidate->incarnation,
					      result_names[i].result, &load, run->now_ms);
}

/*
 * Runs one script command: one of the above, "pick ZONE SEED", "cost-aware", "error-outlier VM", "exclude VM", "at NOW_MS",
 * or "want ROUTE USEFUL_MS [LEFT_MS [REFUSALS]]", which sets the call that endpoints are chosen for.
 */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	run_t *run = data;

	if (g_str_equal(argv[0], "pick")) {
		if (run->pick)
			cw_pick_free(run->pick);
		run->pick = cw_pick_new(argv[1], strtoull(argv[2], NULL, 10));
		run->count = 0;
	} else if (g_str_equal(argv[0], "cost-aware"))
		cw_pick_set_cost_aware(run->pick, true);
	else if (g_str_equal(argv[0], "endpoint"))
		run_endpoint(run, argv);
	else if (g_str_equal(argv[0], "want"))
		run->call = (cw_pick_call_t){.route = strtoull(argv[1], NULL, 10),
					     .useful_ms = atoll(argv[2]),
					     .left_ms = argc > 3 ? atoll(argv[3]) : 0,
					     .refusals = argc > 4 ? (uint32_t)atoi(argv[4]) : 0};
	else if (g_str_equal(argv[0], "error-outlier"))
		g_string_append(out, cw_pick_is_error_outlier(run->pick, run->candidates, run->count, argv[1],
							      run->now_ms)
					     ? "yes\n"
					     : "no\n");
	else if (g_str_equal(argv[0], "exclude"))
		find_candidate(run, argv[1])->excluded = true;
	else if (g_str_equal(argv[0], "at"))
		run->now_ms = atoll(argv[1]);
	else if (g_str_equal(argv[0], "choose"))
		run_choose(run, argv, out);
	else if (g_str_equal(argv[0], "offered"))
		run_offered(run, argv, out);
	else if (g_str_equal(argv[0], "own"))
		run_own(run, argv);
	else if (g_str_equal(argv[0], "send"))
		run_send(run, argv, out);
	else if (g_str_equal(argv[0], "ended"))
		run_ended(run, argc, argv);
	else
		g_string_append_printf(out, "unknown command %s\n", argv[0]);
}

/* Runs every script. */
START_TEST(test_script)
{
	GPtrArray *scripts = script_list("tests/pick");

	for (size_t i = 0; i < scripts->len; i++) {
		run_t run = {.strings = g_ptr_array_new_with_free_func(g_free)};
		char *difference = script_run(scripts->pdata[i], run_command, &run);

		ck_assert_msg(!difference, "%s", difference);
		cw_pick_free(run.pick);
		g_ptr_array_unref(run.strings);
	}
	ck_assert_uint_gt(scripts->len, 0);
	g_ptr_array_unref(scripts);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("pick");
	TCase *tcase = tcase_create("pick");

	tcase_add_test(tcase, test_script);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
