/*
 * A load of client accounts on the queues of receivers, without a network: 86 accounts with sizes by a Zipf
 * distribution, one of which sends 7.5 times its usual rate.  With LOAD_VERBOSE set it prints what accounts and
 * priorities got.
 */
#include <check.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "libcaraway.h"
#include "script.h"

enum {
	ACCOUNTS = 86,
	HOT = 2, /* third by size */
	WORST = (ACCOUNTS + 9) / 10,
	TARGETS = 10,
	SLOTS = 14,
	QUEUE = 56,
	PRIORITIES = 3,
	MAX_SENDS = 3,
	RETRY_MS = 100, /* least time until a refused caller comes back; at most three times this */
	RUN_MS = 100000,
	WARM_UP_MS = 10000, /* not counted */
	TEST_TIMEOUT_S = 120
};

static const double zipf_exponent = 1.2;
static const double hot_factor = 7.5;
/* Shares that differ by less are equal: the small accounts send a few dozen requests. */
static const double margin = 0.02;

/* A kind of call. */
typedef struct {
	double share; /* of all calls */
	double mean_ms;
	double spread;
	int64_t objective_ms, timeout_ms;
	uint32_t priority;
} kind_t;

static const kind_t kinds[] = {
	{0.66, 210, 0.6, 800, 2500, 0}, {0.20, 270, 0.6, 1000, 3000, 1}, {0.14, 830, 0.8, 5000, 8000, 2}};

typedef enum { AWAY, QUEUED, RUNNING, ENDED } state_t;

/* A request of a caller. */
typedef struct {
	state_t state;
	uint32_t account, kind, priority, target;
	cw_call_id_t id;
	int64_t arrival_ms, started_ms;
	int64_t next_ms; /* when it is sent, or ends */
	int sends;
} request_t;

/* What a group of requests got. */
typedef struct {
	double sent, answered, in_time;
} got_t;

/* The state and the result of a run. */
typedef struct {
	cw_admit_t *admits[TARGETS];
	gsl_rng *random;
	GPtrArray *requests;  /* in progress */
	GPtrArray *ended;     /* owns those that have ended */
	GPtrArray *by_cookie; /* request_t * by cookie - 1 */
	uint64_t sequence;
	int64_t now_ms;
	got_t accounts[ACCOUNTS], all;
	got_t hot[PRIORITIES], others[PRIORITIES]; /* the hot account and all others, by priority */
} run_t;

/* Counts an ended request in a group. */
static void count_request(const run_t *run, const request_t *request, got_t *got)
{
	const kind_t *kind = &kinds[request->kind];
	bool answered = request->sends < MAX_SENDS;

	got->sent++;
	got->answered += answered;
	got->in_time += answered && run->now_ms <= request->arrival_ms + kind->objective_ms;
}

/* Ends a request and counts it. */
static void end_request(run_t *run, request_t *request)
{
	request->state = ENDED;
	if (request->arrival_ms < WARM_UP_MS)
		return;
	count_request(run, request, &run->accounts[request->account]);
	count_request(run, request,
		      request->account == HOT ? &run->hot[request->priority]
					      : &run->others[request->priority]);
	count_request(run, request, &run->all);
}

/* Has the caller of a refused request come back later, or give up. */
static void handle_refusal(run_t *run, request_t *request)
{
	request->state = AWAY;
	request->next_ms = run->now_ms + RETRY_MS + (int64_t)(gsl_rng_uniform(run->random) * 2 * RETRY_MS);
	if (++request->sends >= MAX_SENDS)
		end_request(run, request);
}

/* Starts a call at its target. */
static void start_call(run_t *run, request_t *request)
{
	const kind_t *kind = &kinds[request->kind];
	double sigma = sqrt(log(1 + kind->spread * kind->spread));

	request->state = RUNNING;
	request->started_ms = run->now_ms;
	request->next_ms =
		run->now_ms + 1 +
		(int64_t)gsl_ran_lognormal(run->random, log(kind->mean_ms) - sigma * sigma / 2, sigma);
}

/* Sends a request to a random target. */
static void send_request(run_t *run, request_t *request)
{
	const kind_t *kind = &kinds[request->kind];
	cw_admit_call_t call = {.id = {.origin = 1, .sequence = ++run->sequence},
				.route = request->kind + 1,
				.account = request->account + 1,
				.priority = request->priority,
				.deadline_ms = request->arrival_ms + kind->timeout_ms,
				.useful_until_ms = request->arrival_ms + kind->objective_ms};
	cw_reason_t reason;

	g_ptr_array_add(run->by_cookie, request);
	call.cookie = run->by_cookie->len;
	request->id = call.id;
	request->target = (uint32_t)gsl_rng_uniform_int(run->random, TARGETS);
	switch (cw_admit_arrive(run->admits[request->target], &call, run->now_ms, &reason)) {
	case CW_ADMIT_START:
		start_call(run, request);
		break;
	case CW_ADMIT_QUEUE:
		request->state = QUEUED;
		break;
	default:
		handle_refusal(run, request);
		break;
	}
}

/* Adds a request of an account; one in four accounts has priority 0, and one in four has priority 2. */
static void add_request(run_t *run, uint32_t account)
{
	request_t *request = g_new0(request_t, 1);
	double draw = gsl_rng_uniform(run->random);

	while (request->kind + 1 < G_N_ELEMENTS(kinds) && draw >= kinds[request->kind].share)
		draw -= kinds[request->kind++].share;
	request->account = account;
	request->priority = account % 4 == 1 ? 0 : account % 4 == 3 ? 2 : kinds[request->kind].priority;
	request->arrival_ms = run->now_ms;
	g_ptr_array_add(run->requests, request);
	send_request(run, request);
}

/* Advances the requests in progress, then the queues. */
static void advance(run_t *run)
{
	cw_admit_verdict_t verdict;
	cw_reason_t reason;
	uint64_t cookie;

	for (guint i = run->requests->len; i-- > 0;) {
		request_t *request = run->requests->pdata[i];

		if (request->state == RUNNING && run->now_ms >= request->next_ms) {
			cw_admit_done(run->admits[request->target], &request->id, request->kind + 1,
				      CW_ADMIT_ANSWERED, request->started_ms, run->now_ms);
			end_request(run, request);
		} else if (request->state == AWAY && run->now_ms >= request->next_ms) {
			send_request(run, request);
		}
		if (request->state == ENDED)
			g_ptr_array_add(run->ended, g_ptr_array_remove_index_fast(run->requests, i));
	}
	for (uint32_t i = 0; i < TARGETS; i++)
		while (cw_admit_next(run->admits[i], run->now_ms, &cookie, &verdict, &reason)) {
			request_t *request = run->by_cookie->pdata[cookie - 1];

			if (verdict == CW_ADMIT_START)
				start_call(run, request);
			else
				handle_refusal(run, request);
		}
}

/* Plays the load at a ratio of the capacity. */
static void play(run_t *run, double ratio)
{
	const cw_admit_options_t options = {.slots = SLOTS, .queue = QUEUE, .fair_shares = true};
	double sizes[ACCOUNTS];
	double total = 0;
	double mean_ms = 0;

	*run = (run_t){.random = gsl_rng_alloc(gsl_rng_mt19937)};
	gsl_rng_set(run->random, 5);
	run->requests = g_ptr_array_new();
	run->ended = g_ptr_array_new_with_free_func(g_free);
	run->by_cookie = g_ptr_array_new();
	for (int i = 0; i < TARGETS; i++) {
		run->admits[i] = cw_admit_new(&options);
		cw_admit_mark_warm(run->admits[i], 0);
	}
	for (guint i = 0; i < G_N_ELEMENTS(kinds); i++)
		mean_ms += kinds[i].share * kinds[i].mean_ms;
	for (int i = 0; i < ACCOUNTS; i++) {
		sizes[i] = pow(i + 1, -zipf_exponent) * (i == HOT ? hot_factor : 1);
		total += sizes[i];
	}
	for (run->now_ms = 0; run->now_ms < RUN_MS; run->now_ms++) {
		for (uint32_t i = 0; i < ACCOUNTS; i++)
			for (unsigned n = gsl_ran_poisson(run->random, ratio * SLOTS * TARGETS / mean_ms *
									       sizes[i] / total);
			     n > 0; n--)
				add_request(run, i);
		advance(run);
	}
}

/* Frees what a run holds; its result stays. */
static void end_run(run_t *run)
{
	for (int i = 0; i < TARGETS; i++)
		cw_admit_free(run->admits[i]);
	g_ptr_array_set_free_func(run->requests, g_free);
	g_ptr_array_unref(run->requests);
	g_ptr_array_unref(run->ended);
	g_ptr_array_unref(run->by_cookie);
	gsl_rng_free(run->random);
}

/* Orders groups by the share of requests that were answered in time. */
static int compare_groups(const void *a, const void *b)
{
	const got_t *first = a;
	const got_t *second = b;
	double difference = first->in_time * second->sent - second->in_time * first->sent;

	return (difference > 0) - (difference < 0);
}

/* Returns what those accounts got, as a mean of their shares, that got the least; without the hot one. */
static got_t worst_accounts(const run_t *run, int count)
{
	got_t accounts[ACCOUNTS];
	got_t worst = {.sent = count};

	memcpy(accounts, run->accounts, sizeof(accounts));
	accounts[HOT] = (got_t){.sent = 1, .in_time = 2};
	qsort(accounts, ACCOUNTS, sizeof(*accounts), compare_groups);
	for (int i = 0; i < count; i++) {
		worst.answered += accounts[i].answered / accounts[i].sent;
		worst.in_time += accounts[i].in_time / accounts[i].sent;
	}
	return worst;
}

/* Returns the share of a group's requests that were answered in time. */
static double in_time_share(const got_t *got)
{
	return got->in_time / got->sent;
}

/* Prints the shares of a group's requests that were answered in time, and at all. */
static void print_group(const got_t *got)
{
	printf(" %.2f / %.2f |", in_time_share(got), got->answered / got->sent);
}

/* Prints a line of the table in docs/design/fair-shares.md. */
static void print_run(const run_t *run, double ratio)
{
	const got_t tenth = worst_accounts(run, WORST);
	const got_t worst = worst_accounts(run, 1);

	printf("| %.2f |", ratio);
	print_group(&run->all);
	print_group(&run->accounts[HOT]);
	print_group(&run->accounts[0]);
	print_group(&tenth);
	print_group(&worst);
	for (int i = 0; i < PRIORITIES; i++) {
		print_group(&run->hot[i]);
		print_group(&run->others[i]);
	}
	printf("\n");
}

/* A load as a ratio of the capacity, and what accounts other than the hot one get at least in time. */
typedef struct {
	double ratio, tenth, worst;
} case_t;

static const case_t cases[] = {{0.9, 0.94, 0.9}, {1.0, 0.92, 0.86},  {1.1, 0.9, 0.84},
			       {1.2, 0.86, 0.8}, {1.35, 0.78, 0.66}, {1.5, 0.7, 0.54}};

/*
 * Guards against an account that sends many times its usual rate and takes the room of others, against an account
 * that is served less than a quarter as often as all, and against more urgent calls that are served less often.
 */
START_TEST(test_hot_account)
{
	const case_t *test_case = &cases[_i];
	got_t tenth, worst;
	run_t run;

	play(&run, test_case->ratio);
	end_run(&run);
	tenth = worst_accounts(&run, WORST);
	worst = worst_accounts(&run, 1);
	if (g_getenv("LOAD_VERBOSE"))
		print_run(&run, test_case->ratio);
	ck_assert_double_ge(in_time_share(&tenth), test_case->tenth);
	ck_assert_double_ge(in_time_share(&worst), test_case->worst);
	ck_assert_double_ge(in_time_share(&run.accounts[HOT]), in_time_share(&run.all) / 4);
	for (int i = 0; i < PRIORITIES; i++)
		ck_assert_double_le(in_time_share(&run.hot[i]), in_time_share(&run.others[i]) + margin);
	for (int i = 1; i < PRIORITIES; i++)
		ck_assert_double_ge(in_time_share(&run.others[i - 1]) + margin,
				    in_time_share(&run.others[i]));
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("fair_load");
	TCase *tcase = tcase_create("fair_load");

	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_loop_test(tcase, test_hot_account, 0, G_N_ELEMENTS(cases));
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
