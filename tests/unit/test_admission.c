/* Scripted tests of admission control in front of a target and of its call records. */
#include <check.h>
#include <stdlib.h>

#include "libcaraway.h"
#include "script.h"

/* State that the commands of a script operate on. */
typedef struct {
	cw_admit_t *admit;
	int64_t now_ms;
	uint64_t cookie; /* of the last call that arrived */
} run_t;

/* Reads "ORIGIN.SEQUENCE". */
static cw_call_id_t read_id(const char *text)
{
	char *rest;
	cw_call_id_t id = {.origin = strtoull(text, &rest, 10)};

	id.sequence = strtoull(rest + 1, NULL, 10);
	return id;
}

/* Prints a verdict, and the reason of a refusal. */
static void print_verdict(cw_admit_verdict_t verdict, cw_reason_t reason, GString *out)
{
	static const char *const verdict_names[] = {"start", "queue", "refuse", "ignore"};

	g_string_append(out, verdict_names[verdict]);
	if (verdict == CW_ADMIT_REFUSE)
		g_string_append_printf(out, " %s", cw_reason_name(reason));
	g_string_append_c(out, '\n');
}

/* "arrive ID DEADLINE [USEFUL [PRIORITY [ROUTE [ACCOUNT [WEIGHT]]]]]": submits a call; cookies count from 1. */
static void run_arrive(run_t *run, int argc, char **argv, GString *out)
{
	cw_admit_call_t call = {.id = read_id(argv[1]),
				.cookie = ++run->cookie,
				.deadline_ms = atoll(argv[2]),
				.useful_until_ms = argc > 3 ? atoll(argv[3]) : atoll(argv[2]),
				.priority = argc > 4 ? (uint32_t)atoi(argv[4]) : 0,
				.route = argc > 5 ? (uint64_t)atoll(argv[5]) : 0,
				.account = argc > 6 ? (uint64_t)atoll(argv[6]) : 0,
				.account_weight = argc > 7 ? atof(argv[7]) : 0};
	cw_reason_t reason;
	cw_admit_verdict_t verdict = cw_admit_arrive(run->admit, &call, run->now_ms, &reason);

	print_verdict(verdict, reason, out);
}

/* "arrive-long ID DEADLINE": submits a call for whose body there is no memory. */
static void run_arrive_long(run_t *run, char **argv, GString *out)
{
	const cw_admit_call_t call = {.id = read_id(argv[1]),
				      .cookie = ++run->cookie,
				      .deadline_ms = atoll(argv[2]),
				      .useful_until_ms = atoll(argv[2]),
				      .lacks_memory = true};
	cw_reason_t reason;
	cw_admit_verdict_t verdict = cw_admit_arrive(run->admit, &call, run->now_ms, &reason);

	print_verdict(verdict, reason, out);
}

/* "fill ORIGIN COUNT DEADLINE USEFUL PRIORITY ROUTE": COUNT calls arrive; prints those that do not start. */
static void run_fill(run_t *run, char **argv, GString *out)
{
	for (int i = 1; i <= atoi(argv[2]); i++) {
		g_autofree char *id = g_strdup_printf("%s.%d", argv[1], i);
		char *arrival[] = {"arrive", id, argv[3], argv[4], argv[5], argv[6], NULL};
		g_autoptr(GString) verdict = g_string_new(NULL);

		run_arrive(run, 6, arrival, verdict);
		if (!g_str_equal(verdict->str, "start\n"))
			g_string_append_printf(out, "%s: %s", id, verdict->str);
	}
}

/* "next": prints every call that leaves the queue, with its verdict. */
static void run_next(run_t *run, GString *out)
{
	cw_admit_verdict_t verdict;
	cw_reason_t reason;
	uint64_t cookie;

	while (cw_admit_next(run->admit, run->now_ms, &cookie, &verdict, &reason)) {
		g_string_append_printf(out, "%" G_GUINT64_FORMAT " ", cookie);
		print_verdict(verdict, reason, out);
	}
}

/* "done ID answered|error|failed|not-started STARTED [ROUTE]": reports the end of a call. */
static void run_done(run_t *run, int argc, char **argv)
{
	cw_call_id_t id = read_id(argv[1]);
	cw_admit_result_t result = g_str_equal(argv[2], "answered") ? CW_ADMIT_ANSWERED
				   : g_str_equal(argv[2], "error")  ? CW_ADMIT_ERROR
				   : g_str_equal(argv[2], "failed") ? CW_ADMIT_FAILED
								    : CW_ADMIT_NOT_STARTED;

	cw_admit_done(run->admit, &id, argc > 4 ? (uint64_t)atoll(argv[4]) : 0, result, atoll(argv[3]),
		      run->now_ms);
}

/* "revoke ID": prints whether the call may have started, and its cookie if it is removed from the queue. */
static void run_revoke(run_t *run, char **argv, GString *out)
{
	cw_call_id_t id = read_id(argv[1]);
	uint64_t cookie;
	bool never_started = cw_admit_revoke(run->admit, &id, run->now_ms, &cookie);

	g_string_append(out, never_started ? "never started" : "may have started");
	if (cookie)
		g_string_append_printf(out, ", %" G_GUINT64_FORMAT " withdrawn", cookie);
	g_string_append_c(out, '\n');
}

/* "expected ID": prints whether a call is queued and expected to be answered before its deadline. */
static void run_expected(const run_t *run, char **argv, GString *out)
{
	cw_call_id_t id = read_id(argv[1]);

	g_string_append(out,
			cw_admit_is_expected(run->admit, &id, run->now_ms) ? "expected\n" : "not expected\n");
}

/*
 * Runs one script command: one of the above, "new SLOTS QUEUE RAMP_MS [cost-aware]", "at NOW_MS",
 * "mark-warm", "drain on|off", "start-until MS", "wait PRIORITY", which prints the estimated wait of such a call, or
 * "load", which prints the calls in use and their limit.
 */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	run_t *run = data;
	const char *command = argv[0];

	if (g_str_equal(command, "new") && argc >= 4) {
		cw_admit_options_t options = {.slots = (uint32_t)atoi(argv[1]),
					      .queue = (uint32_t)atoi(argv[2]),
					      .ramp_ms = (uint32_t)atoi(argv[3]),
					      .fair_shares = true,
					      .cost_aware = argc > 4};
		if (run->admit)
			cw_admit_free(run->admit);
		*run = (run_t){.admit = cw_admit_new(&options)};
	} else if (g_str_equal(command, "at")) {
		run->now_ms = atoll(argv[1]);
	} else if (g_str_equal(command, "arrive")) {
		run_arrive(run, argc, argv, out);
	} else if (g_str_equal(command, "arrive-long")) {
		run_arrive_long(run, argv, out);
	} else if (g_str_equal(command, "mark-warm")) {
		cw_admit_mark_warm(run->admit, run->now_ms);
	} else if (g_str_equal(command, "fill") && argc == 7) {
		run_fill(run, argv, out);
	} else if (g_str_equal(command, "next")) {
		run_next(run, out);
	} else if (g_str_equal(command, "done")) {
		run_done(run, argc, argv);
	} else if (g_str_equal(command, "revoke")) {
		run_revoke(run, argv, out);
	} else if (g_str_equal(command, "expected")) {
		run_expected(run, argv, out);
	} else if (g_str_equal(command, "drain")) {
		cw_admit_set_draining(run->admit, g_str_equal(argv[1], "on"));
	} else if (g_str_equal(command, "start-until")) {
		cw_admit_set_start_until(run->admit, atoll(argv[1]));
	} else if (g_str_equal(command, "wait")) {
		g_string_append_printf(out, "%u ms\n",
				       cw_admit_wait_ms(run->admit, (uint32_t)atoi(argv[1]), run->now_ms));
	} else if (g_str_equal(command, "load")) {
		g_string_append_printf(out, "load %u limit %u\n", cw_admit_load(run->admit),
				       cw_admit_limit(run->admit, run->now_ms));
	} else {
		g_string_append_printf(out, "unknown command %s\n", command);
	}
}

/* Runs every script. */
START_TEST(test_script)
{
	GPtrArray *scripts = script_list("tests/admission");

	for (size_t i = 0; i < scripts->len; i++) {
		run_t run = {0};
		char *difference = script_run(scripts->pdata[i], run_command, &run);

		ck_assert_msg(!difference, "%s", difference);
		if (run.admit)
			cw_admit_free(run.admit);
	}
	ck_assert_uint_gt(scripts->len, 0);
	g_ptr_array_unref(scripts);
}
END_TEST

/* A record that leaves the window is forgotten; an origin beyond the maximum is refused until one expires. */
START_TEST(test_records_bounds)
{
	cw_records_t *records = cw_records_new(1);
	cw_call_id_t first = {1, 1}, later = {1, 5000}, other = {2, 1};

	ck_assert_int_eq(cw_records_set(records, &first, CW_RECORD_REFUSED, 0), CW_OK);
	ck_assert_int_eq(cw_records_find(records, &first), CW_RECORD_REFUSED);
	ck_assert_int_eq(cw_records_set(records, &later, CW_RECORD_STARTED, 0), CW_OK);
	ck_assert_int_eq(cw_records_find(records, &first), CW_RECORD_FORGOTTEN);
	ck_assert_int_eq(cw_records_set(records, &first, CW_RECORD_REFUSED, 0), CW_OK);
	ck_assert_int_eq(cw_records_find(records, &first), CW_RECORD_FORGOTTEN);
	ck_assert_int_eq(cw_records_set(records, &other, CW_RECORD_STARTED, 0), CW_ERR_FULL);
	ck_assert_int_eq(cw_records_find(records, &other), CW_RECORD_NONE);
	ck_assert_int_eq(cw_records_set(records, &other, CW_RECORD_STARTED, 2 * 60 * 60 * 1000), CW_OK);
	cw_records_free(records);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("admission");
	TCase *tcase = tcase_create("admission");

	tcase_add_test(tcase, test_script);
	tcase_add_test(tcase, test_records_bounds);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
