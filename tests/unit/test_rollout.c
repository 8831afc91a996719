/*
 * Scripted and seeded runs of roll-outs: origins send requests to the old and the new targets of a service by their
 * accounts, and a leader judges what they report.  A run must not exceed the bound of exposure at any time.
 */
#include <check.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "libcaraway.h"
#include "script.h"

enum {
	MS_PER_S = 1000,
	PERCENT = 100,
	MAX_ORIGINS = 100,
	ROUTES = 3,
	SAMPLES = 4096,
	TIMEOUT_MS = 2500,
	REPORT_MS = 1000, /* until the evidence is at the leader, and until origins have a step */
	LEASE_MS = 2000,
	BAD_ANSWERS = 50, /* after which a bad version has rollback_s */
	ROLLBACK_MS = 5000,
	BOUND_PERCENT = 10,
	BOUND_SLACK = 50
};

/* A fault of the new version, and what both versions show. */
typedef struct {
	double errors;	   /* percent of its answers that are errors */
	double speed;	   /* of all new targets, without being a fault; 0: as those of the old ones */
	double slow;	   /* factor */
	double slow_part;  /* percent of its answers that are slow */
	int route;	   /* the only one with the fault; -1: all */
	bool under_load;   /* the fault shows from LOAD on */
	double from;	   /* seconds from the order */
	double cut_off;	   /* seconds from the order after which half of the origins hear nothing */
	double all_errors; /* percent of the answers of both */
	double all_from, all_until;
} fault_t;

typedef struct {
	GRand *random;
	int origin_count;
	double calls_per_s;
	int64_t duration_ms;
	fault_t fault;
	cw_rollout_account_t accounts[MAX_ORIGINS];
	cw_rollout_t *rollout;
	cw_rollout_decision_t last;
	cw_rollout_counts_t reports[2][ROUTES][CW_ROLLOUT_VERSIONS]; /* under way, and being counted */
	uint64_t requests, exposed, bad;
	int64_t bad_limit_ms;	 /* of the answer number BAD_ANSWERS; 0: none yet */
	int64_t last_exposed_ms; /* of the last request to the new version before HANDOVER */
	bool over_bound;
	int64_t verdict_ms;
} run_t;

static double latency_factors[SAMPLES]; /* of a request's work: lognormal, 1 in 100 four times longer */

/* Fills the table of latencies. */
static void fill_latencies(void)
{
	GRand *random = g_rand_new_with_seed(9);

	for (int i = 0; i < SAMPLES; i++) {
		double normal =
			sqrt(-2 * log(1 - g_rand_double(random))) * cos(2 * G_PI * g_rand_double(random));

		latency_factors[i] = exp(0.6 * normal) * (i % 100 ? 1 : 4);
	}
	g_rand_free(random);
}

/* Returns whether an event of a probability in percent happens. */
static bool happens(run_t *run, double percent)
{
	return percent > 0 && g_rand_double(run->random) * PERCENT < percent;
}

/* Returns the route of a new request. */
static int choose_route(run_t *run)
{
	double part = g_rand_double(run->random);

	return part < 0.6 ? 0 : part < 0.88 ? 1 : 2;
}

/* Returns whether the fault shows for a request to the new version now. */
static bool fault_shows(const run_t *run, int route, int64_t now_ms)
{
	const fault_t *fault = &run->fault;

	if (fault->route >= 0 && fault->route != route)
		return false;
	if (fault->under_load && run->last.step < CW_ROLLOUT_LOAD)
		return false;
	return (double)now_ms >= fault->from * MS_PER_S;
}

/* Answers a request and counts the answer. */
static void answer(run_t *run, int route, cw_rollout_version_t version, int64_t now_ms)
{
	static const double work_ms[ROUTES] = {100, 200, 400};
	static const double speeds[] = {0.6, 1.0, 1.4};
	const fault_t *fault = &run->fault;
	uint32_t draw = g_rand_int(run->random);
	double speed =
		version == CW_ROLLOUT_NEW && fault->speed > 0 ? fault->speed : speeds[(draw >> 16) % 3];
	double latency_ms = work_ms[route] * latency_factors[draw % SAMPLES] / speed;
	bool is_faulty = version == CW_ROLLOUT_NEW && fault_shows(run, route, now_ms);
	bool all_fail =
		(double)now_ms >= fault->all_from * MS_PER_S && (double)now_ms < fault->all_until * MS_PER_S;
	bool is_slow = is_faulty && happens(run, fault->slow_part);
	bool is_bad_error = is_faulty && happens(run, fault->errors);
	bool is_error = is_bad_error || (all_fail && happens(run, fault->all_errors));

	/* New targets begin with half their speed. */
	if (version == CW_ROLLOUT_NEW && now_ms < 3000)
		latency_ms *= 2;
	if (is_slow)
		latency_ms *= fault->slow;
	if ((is_slow || is_bad_error) && ++run->bad == BAD_ANSWERS)
		run->bad_limit_ms = now_ms + ROLLBACK_MS;
	cw_rollout_count(&run->reports[1][route][version], is_error || latency_ms >= TIMEOUT_MS,
			 (uint32_t)latency_ms, now_ms);
}

/* Sends a request by the account of its origin. */
static void send_request(run_t *run, int64_t now_ms)
{
	cw_rollout_account_t *account = &run->accounts[g_rand_int_range(run->random, 0, run->origin_count)];
	int route = choose_route(run);
	cw_rollout_use_t use = cw_rollout_account_choose(account, now_ms);

	cw_rollout_account_earn(account);
	run->requests++;
	if (use == CW_ROLLOUT_USE_NEW) {
		cw_rollout_account_expose(account);
		run->exposed++;
		run->last_exposed_ms = now_ms;
	}
	if (run->last.step < CW_ROLLOUT_HANDOVER &&
	    (double)run->exposed > (double)run->requests * BOUND_PERCENT / PERCENT + BOUND_SLACK)
		run->over_bound = true;
	answer(run, route, use == CW_ROLLOUT_USE_NEW ? CW_ROLLOUT_NEW : CW_ROLLOUT_OLD, now_ms);
}

/* Delivers the reports under way, and the committed step to the origins in touch. */
static void exchange_reports(run_t *run, int64_t now_ms)
{
	double cut_off = run->fault.cut_off;
	bool some_cut_off = cut_off > 0 && (double)now_ms >= cut_off * MS_PER_S;

	for (int route = 0; route < ROUTES; route++)
		for (int version = 0; version < CW_ROLLOUT_VERSIONS; version++)
			cw_rollout_add(run->rollout, (uint64_t)route + 1, (cw_rollout_version_t)version,
				       &run->reports[0][route][version]);
	memcpy(run->reports[0], run->reports[1], sizeof(run->reports[0]));
	memset(run->reports[1], 0, sizeof(run->reports[1]));
	for (int i = 0; i < run->origin_count; i++)
		if (!some_cut_off || i % 2)
			cw_rollout_account_confirm(&run->accounts[i], 1, run->last.step, now_ms + LEASE_MS);
}

/* Judges, and commits what was decided. */
static void judge(run_t *run, int64_t now_ms)
{
	cw_rollout_decision_t decision = cw_rollout_judge(run->rollout, now_ms);

	if (decision.step == run->last.step)
		return;
	run->last = decision;
	cw_rollout_committed(run->rollout, decision.step, now_ms);
	if (cw_rollout_is_verdict(decision.step))
		run->verdict_ms = now_ms;
}

/* Plays a roll-out until ROLLBACK_MS after its verdict. */
static void play(run_t *run)
{
	run->rollout = cw_rollout_new(0, run->duration_ms, CW_ROLLOUT_PROBE, 0);
	run->last = (cw_rollout_decision_t){.step = CW_ROLLOUT_PROBE, .reason = ""};
	for (int64_t now_ms = 0; now_ms < 2 * run->duration_ms; now_ms++) {
		double arrivals = run->calls_per_s / MS_PER_S;

		if (run->verdict_ms && now_ms >= run->verdict_ms + ROLLBACK_MS)
			break;
		for (; arrivals >= 1 || g_rand_double(run->random) < arrivals; arrivals--)
			send_request(run, now_ms);
		if (now_ms % REPORT_MS == 0)
			exchange_reports(run, now_ms);
		if (now_ms % 100 == 0 && !run->verdict_ms)
			judge(run, now_ms);
	}
	cw_rollout_free(run->rollout);
}

/* Returns whether a request was sent to the new version too long after its 50th bad answer. */
static bool is_late(const run_t *run)
{
	return run->bad_limit_ms && run->last_exposed_ms > run->bad_limit_ms;
}

/* Returns the value of "NAME=VALUE" among the arguments. */
static double argument(int argc, char **argv, const char *name, double usual)
{
	for (int i = 1; i < argc; i++)
		if (g_str_has_prefix(argv[i], name) && argv[i][strlen(name)] == '=')
			return g_ascii_strtod(argv[i] + strlen(name) + 1, NULL);
	return usual;
}

/* Creates a run from the arguments of a command. */
static run_t *run_new(int argc, char **argv, uint32_t seed)
{
	run_t *run = g_new0(run_t, 1);

	run->random = g_rand_new_with_seed(seed);
	run->origin_count = (int)argument(argc, argv, "origins", 80);
	run->calls_per_s = argument(argc, argv, "rate", 400);
	run->duration_ms = (int64_t)(argument(argc, argv, "duration", 30) * MS_PER_S);
	run->fault = (fault_t){.errors = argument(argc, argv, "errors", 0),
			       .speed = argument(argc, argv, "speed", 0),
			       .slow = argument(argc, argv, "slow", 1),
			       .slow_part = argument(argc, argv, "slow-part", 0),
			       .route = (int)argument(argc, argv, "route", -1),
			       .under_load = argument(argc, argv, "under-load", 0) > 0,
			       .from = argument(argc, argv, "from", 0),
			       .cut_off = argument(argc, argv, "cut-off", 0),
			       .all_errors = argument(argc, argv, "all-errors", 0),
			       .all_from = argument(argc, argv, "all-from", 0),
			       .all_until = argument(argc, argv, "all-until", HUGE_VAL)};
	return run;
}

/* Frees a run. */
static void run_free(run_t *run)
{
	g_rand_free(run->random);
	g_free(run);
}

/* "play NAME=VALUE...": prints the verdict of one run and the exposure until then. */
static void run_play(int argc, char **argv, GString *out)
{
	run_t *run = run_new(argc, argv, 1);

	play(run);
	g_string_append_printf(out, "%s", cw_rollout_step_name(run->last.step));
	if (*run->last.reason)
		g_string_append_printf(out, " by %s", run->last.reason);
	if (run->last.route)
		g_string_append_printf(out, " on route %" G_GUINT64_FORMAT, run->last.route - 1);
	g_string_append_printf(out, " at %.1f s, bad answers %" G_GUINT64_FORMAT,
			       (double)run->verdict_ms / MS_PER_S, run->bad);
	if (run->last.step == CW_ROLLOUT_ROLLED_BACK)
		g_string_append_printf(out, ", exposed %.1f%%",
				       PERCENT * (double)run->exposed / (double)MAX(run->requests, 1));
	g_string_append_printf(out, "%s%s\n", run->over_bound ? ", OVER THE BOUND" : "",
			       is_late(run) ? ", LATE" : "");
	run_free(run);
}

/*
 * "runs COUNT NAME=VALUE...": plays with as many seeds and prints how many of the verdicts are wrong, how many runs
 * exceeded the bound and in how many the exposure ended too late.
 */
static void run_runs(int argc, char **argv, GString *out)
{
	int count = atoi(argv[1]);
	int wrong = 0, over = 0, late = 0;

	for (int i = 0; i < count; i++) {
		run_t *run = run_new(argc, argv, (uint32_t)i + 1);
		bool is_bad = run->fault.errors > 0 || run->fault.slow_part > 0;

		play(run);
		wrong += run->last.step != (is_bad ? CW_ROLLOUT_ROLLED_BACK : CW_ROLLOUT_SUCCEEDED) ||
			 run->verdict_ms > run->duration_ms;
		over += run->over_bound;
		late += is_late(run);
		run_free(run);
	}
	g_string_append_printf(out, "wrong %d of %d, over the bound %d, late %d\n", wrong, count, over, late);
}

/* "targets STEP OLD NEW": prints how many new targets are used. */
static void run_targets(char **argv, GString *out)
{
	g_string_append_printf(out, "%zu\n",
			       cw_rollout_targets_in_use((cw_rollout_step_t)atoi(argv[1]),
							 (size_t)atoi(argv[2]), (size_t)atoi(argv[3])));
}

/* Carries out a command of a script. */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	(void)data;
	if (g_str_equal(argv[0], "play"))
		run_play(argc, argv, out);
	else if (g_str_equal(argv[0], "runs") && argc > 1)
		run_runs(argc, argv, out);
	else if (g_str_equal(argv[0], "targets") && argc == 4)
		run_targets(argv, out);
	else
		g_string_append_printf(out, "unknown command %s\n", argv[0]);
}

/* Runs one script of tests/rollout. */
START_TEST(test_script)
{
	fill_latencies();
	script_assert("tests/rollout", _i, run_command, NULL);
}
END_TEST

/* An account whose lease has expired, or which belongs to another order, exposes nothing. */
START_TEST(test_account)
{
	cw_rollout_account_t account = {0};

	ck_assert_int_eq(cw_rollout_account_choose(&account, 0), CW_ROLLOUT_USE_ANY);
	cw_rollout_account_confirm(&account, 7, CW_ROLLOUT_LOAD, 1000);
	ck_assert_int_eq(cw_rollout_account_choose(&account, 0), CW_ROLLOUT_USE_OLD);
	for (int i = 0; i < 12; i++)
		cw_rollout_account_earn(&account);
	ck_assert_int_eq(cw_rollout_account_choose(&account, 999), CW_ROLLOUT_USE_NEW);
	ck_assert_int_eq(cw_rollout_account_choose(&account, 1000), CW_ROLLOUT_USE_OLD);
	cw_rollout_account_expose(&account);
	ck_assert_int_eq(cw_rollout_account_choose(&account, 999), CW_ROLLOUT_USE_OLD);

	/* An earlier step that arrives late does not renew the lease. */
	cw_rollout_account_confirm(&account, 7, CW_ROLLOUT_PROBE, 9000);
	ck_assert_int_eq(account.lease_until_ms, 1000);
	cw_rollout_account_confirm(&account, 7, CW_ROLLOUT_ROLLED_BACK, 0);
	cw_rollout_account_confirm(&account, 7, CW_ROLLOUT_HANDOVER, 9000);
	ck_assert_int_eq(cw_rollout_account_choose(&account, 999), CW_ROLLOUT_USE_OLD);
	cw_rollout_account_confirm(&account, 8, CW_ROLLOUT_PROBE, 2000);
	ck_assert_uint_eq(account.requests, 0);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	GPtrArray *scripts = script_list("tests/rollout");
	Suite *suite = suite_create("rollout");
	TCase *scripted = tcase_create("scripts");
	TCase *units = tcase_create("units");

	tcase_set_timeout(scripted, 120);
	tcase_add_loop_test(scripted, test_script, 0, (int)scripts->len);
	tcase_add_test(units, test_account);
	suite_add_tcase(suite, scripted);
	suite_add_tcase(suite, units);
	if (!scripts->len)
		return EXIT_FAILURE;
	g_ptr_array_unref(scripts);
	return script_run_suite(suite);
}
