/*
 * Scripted loads on allotments, in virtual time: origins that ask one owner, or its substitute, for tokens over links
 * with a delay, and callers that come back when they are told to.
 */
#include <check.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "libcaraway.h"
#include "script.h"

enum {
	MAX_ORIGINS = 400,
	MS_PER_S = 1000,
	LINK_MS = 2,
	WINDOW_MS = 5000,
	START_MS = 100000, /* of the clock */
	MAX_RUN_MS = 60000,
	MAX_TRIES = 3,
	RANKS = CW_ALLOTMENT_OWNERS,
	ACCOUNT = 77,
	ROUNDING = 5 /* percent, so that the output does not depend on the last digit of a library's exp() */
};

/* A message under way: an ask or its answer. */
typedef struct {
	int64_t at_ms;
	size_t origin;
	bool is_answer;
	cw_allotment_ask_t ask;
	cw_allotment_grant_t grant;
} message_t;

/* A caller that comes back. */
typedef struct {
	int64_t at_ms;
	size_t origin;
	int tries; /* so far */
} returning_t;

/* The state of a run; times are from its start. */
typedef struct {
	GRand *random;
	size_t origin_count;
	double demand_per_s;
	double skew;   /* origin i has a share in proportion to (i + 1) ^ -skew */
	double move_s; /* the origins with demand move on by one after this time; 0: never */
	cw_allotment_limit_t limit;
	int64_t now_ms;
	int64_t dead_from_ms, dead_until_ms; /* the owner does not answer, and is a new process afterwards */
	bool substitute_hears_owner; /* the substitute is connected to the owner, which only the origins cannot reach */
	cw_allotment_origin_t *origins[MAX_ORIGINS];
	cw_allotment_owner_t *owners[RANKS];
	GArray *messages;
	GArray *returning;
	GArray *waiting[MAX_ORIGINS]; /* of int: tries of each */
	uint32_t used[MAX_RUN_MS];
	uint64_t asked, served, refused, unavailable, sent;
} run_t;

/* Returns the time of the clock. */
static int64_t clock_ms(const run_t *run)
{
	return START_MS + run->now_ms;
}

/* Has a refused caller come back, if it has tries left. */
static void refuse(run_t *run, size_t origin, int tries, uint32_t retry_after_ms)
{
	returning_t returning = {
		.at_ms = run->now_ms + MAX(retry_after_ms, 1), .origin = origin, .tries = tries};

	if (tries < MAX_TRIES)
		g_array_append_val(run->returning, returning);
	else
		run->refused++;
}

/* Counts a call that starts. */
static void serve(run_t *run)
{
	run->served++;
	run->used[run->now_ms]++;
}

/* Takes a token for a new try of a call. */
static void try_call(run_t *run, size_t origin, int tries)
{
	uint32_t retry_after_ms;

	tries++;
	switch (cw_allotment_origin_take(run->origins[origin], ACCOUNT, true, clock_ms(run),
					 &retry_after_ms)) {
	case CW_ALLOTMENT_TAKEN:
		serve(run);
		break;
	case CW_ALLOTMENT_WAIT:
		g_array_append_val(run->waiting[origin], tries);
		break;
	case CW_ALLOTMENT_REFUSED:
		refuse(run, origin, tries, retry_after_ms);
		break;
	}
}

/* Serves or refuses the calls that wait at an origin. */
static void serve_waiting(run_t *run, size_t origin)
{
	GArray *waiting = run->waiting[origin];
	uint32_t retry_after_ms;

	while (waiting->len) {
		int tries = g_array_index(waiting, int, 0);
		cw_allotment_verdict_t verdict = cw_allotment_origin_take(
			run->origins[origin], ACCOUNT, false, clock_ms(run), &retry_after_ms);

		if (verdict == CW_ALLOTMENT_WAIT)
			return;
		g_array_remove_index(waiting, 0);
		if (verdict == CW_ALLOTMENT_TAKEN)
			serve(run);
		else
			refuse(run, origin, tries, retry_after_ms);
	}
}

/* Returns whether the owner answers now. */
static bool owner_is_up(const run_t *run)
{
	return run->now_ms < run->dead_from_ms || run->now_ms >= run->dead_until_ms;
}

/* Handles an ask at the proxy of its rank, and sends the answer. */
static void handle_ask(run_t *run, message_t message)
{
	cw_allotment_title_t title = message.ask.rank ? CW_ALLOTMENT_SUBSTITUTE : CW_ALLOTMENT_OWNER;

	const cw_allotment_need_t need = {
		.origin = message.origin + 1, .tokens = message.ask.tokens, .unspent = message.ask.unspent};
	/* A new owner may have a predecessor; at the start there is none. */
	int64_t since_ms = run->now_ms < run->dead_from_ms ? 0 : START_MS + run->dead_from_ms;

	if (!message.ask.rank && !owner_is_up(run))
		return;
	message.at_ms = run->now_ms + LINK_MS;
	message.is_answer = true;
	if (message.ask.rank && (owner_is_up(run) || run->substitute_hears_owner ||
				 run->now_ms < run->dead_from_ms + CW_ALLOTMENT_PROBE_MS))
		message.grant.retry_after_ms = UINT32_MAX; /* declined */
	else
		message.grant = cw_allotment_owner_grant(run->owners[message.ask.rank], ACCOUNT, &run->limit,
							 title, since_ms, &need, clock_ms(run));
	g_array_append_val(run->messages, message);
}

/* Handles the answer to an ask. */
static void handle_answer(run_t *run, const message_t *message)
{
	cw_allotment_origin_t *origin = run->origins[message->origin];

	if (message->grant.retry_after_ms == UINT32_MAX)
		cw_allotment_origin_failed(origin, ACCOUNT, message->ask.request, CW_ALLOTMENT_DECLINED,
					   clock_ms(run));
	else
		cw_allotment_origin_granted(origin, ACCOUNT, message->ask.request, &message->grant,
					    clock_ms(run));
	serve_waiting(run, message->origin);
}

/* Delivers the messages that are due. */
static void deliver(run_t *run)
{
	for (guint i = 0; i < run->messages->len;) {
		message_t message = g_array_index(run->messages, message_t, i);

		if (message.at_ms > run->now_ms) {
			i++;
			continue;
		}
		g_array_remove_index(run->messages, i);
		if (message.is_answer)
			handle_answer(run, &message);
		else
			handle_ask(run, message);
	}
}

/* Runs the timers of an origin and sends what it asks for. */
static void run_origin(run_t *run, size_t origin)
{
	message_t message = {.at_ms = run->now_ms + LINK_MS, .origin = origin};
	cw_allotment_event_t event;

	while ((event = cw_allotment_origin_tick(run->origins[origin], clock_ms(run))).type !=
	       CW_ALLOTMENT_NO_EVENT) {
		if (event.type == CW_ALLOTMENT_CREDIT) {
			serve_waiting(run, origin);
			continue;
		}
		run->unavailable += run->waiting[origin]->len;
		g_array_set_size(run->waiting[origin], 0);
	}
	while (cw_allotment_origin_next_ask(run->origins[origin], clock_ms(run), &message.ask)) {
		run->sent++;
		g_array_append_val(run->messages, message);
	}
}

/* Returns the share of the demand that an origin has now. */
static double share_of(const run_t *run, size_t origin)
{
	size_t moved = run->move_s > 0 ? (size_t)((double)run->now_ms / MS_PER_S / run->move_s) : 0;
	double sum = 0;

	for (size_t i = 0; i < run->origin_count; i++)
		sum += pow((double)i + 1, -run->skew);
	return pow((double)((origin + moved) % run->origin_count) + 1, -run->skew) / sum;
}

/* Lets new callers, and those that come back, make their calls. */
static void make_calls(run_t *run, const double *shares)
{
	for (size_t i = 0; i < run->origin_count; i++)
		if (g_rand_double(run->random) < shares[i] * run->demand_per_s / MS_PER_S) {
			run->asked++;
			try_call(run, i, 0);
		}
	for (guint i = 0; i < run->returning->len;) {
		returning_t returning = g_array_index(run->returning, returning_t, i);

		if (returning.at_ms > run->now_ms) {
			i++;
			continue;
		}
		g_array_remove_index_fast(run->returning, i);
		try_call(run, returning.origin, returning.tries);
	}
}

/* Returns the most calls that started in any window. */
static uint64_t worst_window(const run_t *run)
{
	uint64_t sum = 0, worst = 0;

	for (int64_t i = 0; i < run->now_ms; i++) {
		sum += run->used[i];
		if (i >= WINDOW_MS)
			sum -= run->used[i - WINDOW_MS];
		worst = MAX(worst, sum);
	}
	return worst;
}

/* Returns a ratio as a percentage, rounded. */
static int percent(double part, double whole)
{
	return whole > 0 ? (int)lround(100 * part / whole / ROUNDING) * ROUNDING : 0;
}

/*
 * Prints the share of what the limit allows in the time that was used, the worst window as a share of what a
 * platform tolerates there, the callers that were told that the allotment is not available, and the messages sent
 * for each call.
 */
static void print_result(const run_t *run, GString *out)
{
	double seconds = (double)run->now_ms / MS_PER_S;
	double allowed = run->limit.window_ms
				 ? (run->limit.calls_per_s * WINDOW_MS / MS_PER_S + run->limit.burst) *
					   seconds * MS_PER_S / WINDOW_MS
				 : run->limit.calls_per_s * seconds + run->limit.burst;
	double tolerated = (run->limit.calls_per_s * WINDOW_MS / MS_PER_S + run->limit.burst) * 1.1 + 20;

	g_string_append_printf(out, "served %d%% of demand, used %d%% of the limit, worst window %s (%d%%)\n",
			       percent((double)run->served, (double)run->asked),
			       percent((double)run->served, allowed),
			       (double)worst_window(run) <= tolerated ? "tolerated" : "EXCEEDED",
			       percent((double)worst_window(run), tolerated));
	g_string_append_printf(out, "unavailable %d%%, asks for each call %.1f\n",
			       percent((double)run->unavailable, (double)run->asked),
			       (double)run->sent / (double)MAX(run->asked, 1));
}

/* Carries out a run of some seconds. */
static void play(run_t *run, int64_t end_ms, GString *out)
{
	double shares[MAX_ORIGINS] = {0};

	for (; run->now_ms < end_ms; run->now_ms++) {
		if (run->now_ms % 100 == 0)
			for (size_t i = 0; i < run->origin_count; i++)
				shares[i] = share_of(run, i);
		if (run->now_ms == run->dead_until_ms) {
			cw_allotment_owner_free(run->owners[0]);
			run->owners[0] = cw_allotment_owner_new();
		}
		deliver(run);
		make_calls(run, shares);
		for (size_t i = 0; i < run->origin_count; i++)
			run_origin(run, i);
	}
	print_result(run, out);
}

/* Frees what a run has. */
static void run_clear(run_t *run)
{
	for (size_t i = 0; i < run->origin_count; i++) {
		cw_allotment_origin_free(run->origins[i]);
		g_array_unref(run->waiting[i]);
	}
	for (int i = 0; i < RANKS; i++)
		cw_allotment_owner_free(run->owners[i]);
	g_array_unref(run->messages);
	g_array_unref(run->returning);
	g_rand_free(run->random);
}

/* Returns the value of "NAME=VALUE" among the arguments. */
static double argument(int argc, char **argv, const char *name, double usual)
{
	for (int i = 1; i < argc; i++)
		if (g_str_has_prefix(argv[i], name) && argv[i][strlen(name)] == '=')
			return g_ascii_strtod(argv[i] + strlen(name) + 1, NULL);
	return usual;
}

/* "load NAME=VALUE...": plays a load and prints what became of it. */
static void run_load(int argc, char **argv, GString *out)
{
	run_t *run = g_new0(run_t, 1);

	run->random = g_rand_new_with_seed(1);
	run->origin_count = (size_t)argument(argc, argv, "origins", 80);
	run->demand_per_s = argument(argc, argv, "demand", 100);
	run->skew = argument(argc, argv, "skew", 0);
	run->move_s = argument(argc, argv, "move", 0);
	run->limit.calls_per_s = argument(argc, argv, "rate", 100);
	run->limit.burst = argument(argc, argv, "burst", 100);
	run->limit.overage_permille = (uint32_t)argument(argc, argv, "overage", 0);
	run->limit.window_ms = (uint32_t)argument(argc, argv, "window", 0) * MS_PER_S;
	run->dead_from_ms = (int64_t)(argument(argc, argv, "dead", MAX_RUN_MS) * MS_PER_S);
	run->dead_until_ms = (int64_t)(argument(argc, argv, "back", MAX_RUN_MS) * MS_PER_S);
	run->substitute_hears_owner = argument(argc, argv, "partial", 0) > 0;
	run->messages = g_array_new(FALSE, FALSE, sizeof(message_t));
	run->returning = g_array_new(FALSE, FALSE, sizeof(returning_t));
	for (size_t i = 0; i < run->origin_count; i++) {
		run->origins[i] = cw_allotment_origin_new();
		run->waiting[i] = g_array_new(FALSE, FALSE, sizeof(int));
	}
	for (int i = 0; i < RANKS; i++)
		run->owners[i] = cw_allotment_owner_new();
	play(run, (int64_t)(argument(argc, argv, "seconds", 20) * MS_PER_S), out);
	run_clear(run);
	g_free(run);
}

/* "rank ACCOUNT VM...": prints the owner and its substitute. */
static void run_rank(int argc, char **argv, GString *out)
{
	size_t ranked[RANKS];
	size_t found = cw_allotment_rank(strtoull(argv[1], NULL, 10), (const char *const *)argv + 2,
					 (size_t)argc - 2, ranked);

	for (size_t i = 0; i < found; i++)
		g_string_append_printf(out, "%s%s", i ? " " : "", argv[2 + ranked[i]]);
	g_string_append_c(out, '\n');
}

/* Carries out a command of a script. */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	(void)data;
	if (g_str_equal(argv[0], "load"))
		run_load(argc, argv, out);
	else if (g_str_equal(argv[0], "rank") && argc > 2)
		run_rank(argc, argv, out);
	else
		g_string_append_printf(out, "unknown command %s\n", argv[0]);
}

/* Runs one script of tests/allotment. */
START_TEST(test_script)
{
	script_assert("tests/allotment", _i, run_command, NULL);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	return script_main("tests/allotment", test_script, 60);
}
