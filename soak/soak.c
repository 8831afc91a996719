/*
 * The fault soak: a mesh of real processes under faults that come in series and
 * overlap, while callers call and operators make changes.
 *
 *   soak --seed N [--rounds N] [--proxies N] [--callers N] [--keep]
 *
 * A round draws faults from the seed, carries them out, and ends when everything
 * has been healed and every proxy serves the newest accepted change.  The exit
 * status is 0 when no promise was broken.
 */
#include "soak.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "caller.h"
#include "callers.h"
#include "faults.h"
#include "judge.h"
#include "operator.h"

enum {
	STEP_MS = 20,
	START_MS = 20000, /* of a mesh, formatted and started just now */
	/* The grace time of a proxy, and the longest pause of a process beside it. */
	STOP_MS = 18000,
	CALM_MS = 3000,	    /* without faults, until planned work counts as such */
	PLANNED_ROUNDS = 3, /* one in so many */
	PROBE_MS = 2000,
	PATH_BYTES = 48,
	DEFAULT_ROUNDS = 5,
	DEFAULT_PROXIES = 6,
	DEFAULT_CALLERS = 2,
	MAX_ROUNDS = 100000,
	MAX_CALLERS = 50
};

static soak_options_t options = {
	.rounds = DEFAULT_ROUNDS, .proxies = DEFAULT_PROXIES, .callers = DEFAULT_CALLERS};
static bool keep;

/* One run. */
typedef struct {
	cluster_t *cluster;
	soak_load_t load;
	faults_t faults;
	judge_t *judge;
	operators_t *operators;
	GRand *rand;
	GPtrArray *processes; /* char *, all */
} soak_t;

/* Returns the name of a proxy; the caller frees it. */
static char *proxy_name(int number)
{
	return g_strdup_printf("p%d", number);
}

/* Starts the processes. */
static void start_mesh(soak_t *soak)
{
	static const char *const zones[] = {"miskolc", "eger", "ozd"};

	soak->cluster = cluster_new();
	if (keep)
		cluster_keep_folder(soak->cluster);
	cluster_use_links(soak->cluster);
	cluster_preload(soak->cluster, "soak/misbehave.so");
	soak->processes = g_ptr_array_new_with_free_func(g_free);
	for (int id = 1; id <= CLUSTER_REPLICAS; id++) {
		cluster_format_replica(soak->cluster, id);
		cluster_start_replica(soak->cluster, id);
		g_ptr_array_add(soak->processes, g_strdup_printf("r%d", id));
	}
	for (int i = 0; i < options.proxies; i++) {
		g_autofree char *name = proxy_name(i);
		g_autofree char *service = g_strdup_printf("s%d", i % SOAK_SERVICES);

		/* Services and zones are spread apart: each service has targets in several zones. */
		cluster_add_proxy(soak->cluster, name,
				  zones[(i / SOAK_SERVICES + i) % (int)G_N_ELEMENTS(zones)], service);
		cluster_start_proxy(soak->cluster, name);
		soak->load.ports[i] = cluster_http_port(soak->cluster, name);
		g_ptr_array_add(soak->processes, g_strdup_printf("target-%s", name));
		g_ptr_array_add(soak->processes, g_steal_pointer(&name));
	}
	soak->load.proxies = options.proxies;
	soak->load.records = g_async_queue_new_full(g_free);
}

/* Notes how a process ended that was not killed. */
static void judge_end(soak_t *soak, const char *name, int status)
{
	if (status && g_hash_table_contains(soak->faults.stopped, name))
		judge_add_fault(soak->judge,
				g_strdup_printf("%s was told to stop and ended with %d", name, status));
	else if (!g_hash_table_contains(soak->faults.stopped, name))
		judge_add_fault(soak->judge, g_strdup_printf("%s ended by itself with %d", name, status));
}

/* Notes a process that was told to stop and has not. */
static void judge_stop(soak_t *soak, const char *name)
{
	gpointer since = g_hash_table_lookup(soak->faults.stopped, name);

	if (!since || soak_now_ms() < (int64_t)GPOINTER_TO_SIZE(since) + STOP_MS)
		return;
	judge_add_fault(soak->judge, g_strdup_printf("%s was told to stop and has not", name));
	g_hash_table_remove(soak->faults.stopped, name);
}

/* Starts the processes again that have ended. */
static void watch_processes(soak_t *soak)
{
	for (guint i = 0; i < soak->processes->len; i++) {
		const char *name = g_ptr_array_index(soak->processes, i);
		int status;

		if (!cluster_runs(soak->cluster, name))
			continue;
		if (!cluster_ended(soak->cluster, name, &status)) {
			judge_stop(soak, name);
			continue;
		}
		judge_end(soak, name, status);
		faults_note_end(&soak->faults, name);
		cluster_start(soak->cluster, name);
	}
}

/* Returns whether a proxy serves a path. */
static bool serves(const soak_t *soak, int proxy, const char *path)
{
	answer_t answer;

	caller_call(soak->load.ports[proxy], "GET", path, "probe", PROBE_MS, &answer);
	return answer.status == 200;
}

/* Returns the first proxy that does not serve every service and the newest change, -1 when all do. */
static int find_behind(const soak_t *soak)
{
	char path[PATH_BYTES];

	for (int proxy = 0; proxy < soak->load.proxies; proxy++) {
		g_snprintf(path, sizeof(path), "/turn/%d/", atomic_load(&soak->load.newest_turn));
		if (!serves(soak, proxy, path))
			return proxy;
		for (int i = 0; i < SOAK_SERVICES; i++) {
			g_snprintf(path, sizeof(path), "/s%d/x", i);
			if (!serves(soak, proxy, path))
				return proxy;
		}
	}
	return -1;
}

/* Returns whether three replicas vote and are reached. */
static bool all_vote(const soak_t *soak)
{
	const char *arguments[] = {"--timeout=2", "status", NULL};
	g_autoptr(GString) out = g_string_new(NULL);
	g_autoptr(GRegex) row = g_regex_new("^\\d +127\\S+ +yes +\\d+ +yes", G_REGEX_MULTILINE, 0, NULL);
	g_autoptr(GMatchInfo) match = NULL;
	int count = 0;

	cluster_ctl(soak->cluster, arguments, out);
	for (g_regex_match(row, out->str, 0, &match); g_match_info_matches(match);
	     g_match_info_next(match, NULL))
		count++;
	return count == CLUSTER_REPLICAS;
}

/* Lets time pass while the processes and the calls are watched. */
static void pass_time(soak_t *soak)
{
	g_usleep(STEP_MS * SOAK_US_PER_MS);
	watch_processes(soak);
	judge_look(soak->judge);
}

/* Waits, without faults, until changes are accepted, in force everywhere, and every replica votes. */
static void settle(soak_t *soak, int64_t limit_ms)
{
	int64_t since_ms = soak_now_ms();
	int behind = 0;

	operators_pause(soak->operators, true);
	while (soak_now_ms() < since_ms + limit_ms) {
		pass_time(soak);
		if (!operators_idle(soak->operators) || !atomic_load(&soak->load.newest_turn))
			continue;
		behind = find_behind(soak);
		if (behind < 0 && all_vote(soak)) {
			printf("  settled after %d ms, turn %d\n", (int)(soak_now_ms() - since_ms),
			       atomic_load(&soak->load.newest_turn));
			return;
		}
	}
	judge_add_fault(soak->judge,
			!operators_idle(soak->operators) ? g_strdup("no change is accepted after the faults")
			: behind >= 0 ? g_strdup_printf("proxy %d does not serve turn %d after the faults",
							behind, atomic_load(&soak->load.newest_turn))
				      : g_strdup("not every replica votes after the faults"));
}

/* Prints the faults of a round. */
static void print_round(int number, bool planned, const GArray *round)
{
	int64_t from_ms = soak_now_ms();

	printf("round %d%s:", number, planned ? ", planned work" : "");
	for (guint i = 0; i < round->len; i++) {
		const fault_t *fault = &g_array_index(round, fault_t, i);

		printf(" %s %s", fault_word(fault->kind), fault->process);
		if (fault->amount)
			printf(" %d", fault->amount);
		printf(" at %d for %d;", (int)(fault->begin_ms - from_ms),
		       (int)(fault->end_ms - fault->begin_ms));
	}
	printf("\n");
	fflush(stdout);
}

/* Waits until what planned work may count is calm. */
static void wait_calm(soak_t *soak)
{
	int64_t until_ms = soak_now_ms() + CALM_MS;

	while (soak_now_ms() < until_ms)
		pass_time(soak);
}

/* Carries out one round. */
static void run_round(soak_t *soak, int number)
{
	bool planned = g_rand_int_range(soak->rand, 0, PLANNED_ROUNDS) == 0;
	GArray *round;

	if (planned)
		wait_calm(soak);
	round = faults_draw(&soak->faults, soak->rand, planned);
	print_round(number, planned, round);
	judge_set_planned(soak->judge, planned);
	operators_pause(soak->operators, false);
	while (faults_step(&soak->faults, round) || g_hash_table_size(soak->faults.stopped))
		pass_time(soak);
	settle(soak, SOAK_IN_FORCE_MS);
	judge_set_planned(soak->judge, false);
	judge_print_faults(soak->judge);
	fflush(stdout);
	g_array_free(round, TRUE);
}

/* Checks at the end that every accepted change is listed as such. */
static void check_changes(soak_t *soak)
{
	const char *arguments[] = {"--timeout=5", "changes", NULL};
	g_autoptr(GString) out = g_string_new(NULL);

	cluster_ctl(soak->cluster, arguments, out);
	for (int turn = 1; turn <= atomic_load(&soak->load.newest_turn); turn++) {
		g_autofree char *pattern = g_strdup_printf("^%d +in force .*Turn %d$", turn, turn);

		if (!g_regex_match_simple(pattern, out->str, G_REGEX_MULTILINE, 0))
			judge_add_fault(soak->judge, g_strdup_printf("the accepted change %d is lost", turn));
	}
}

/* Runs the soak; returns the number of broken promises. */
static int run(soak_t *soak)
{
	callers_t *callers;
	char *fault;
	int broken;

	start_mesh(soak);
	soak->rand = g_rand_new_with_seed(options.seed);
	soak->judge = judge_new(soak->cluster, &soak->load);
	faults_init(&soak->faults, soak->cluster, &soak->load);
	for (guint i = 0; i < soak->faults.proxies->len; i++)
		judge_add_target(soak->judge, g_ptr_array_index(soak->faults.proxies, i));
	soak->operators =
		operators_start(soak->cluster, &soak->load, cluster_folder(soak->cluster), options.seed);
	while (!atomic_load(&soak->load.newest_turn))
		pass_time(soak);
	settle(soak, START_MS);
	callers = callers_start(&soak->load, options.callers, options.seed);
	for (int i = 1; i <= options.rounds; i++)
		run_round(soak, i);
	atomic_store(&soak->load.stop, true);
	callers_stop(callers);
	check_changes(soak);
	while ((fault = operators_fault(soak->operators)))
		judge_add_fault(soak->judge, fault);
	operators_stop(soak->operators);
	judge_look(soak->judge);
	broken = judge_print_faults(soak->judge);
	judge_print_calls(soak->judge);
	if (keep || broken)
		printf("%s\n", cluster_folder(soak->cluster));
	if (broken)
		cluster_keep_folder(soak->cluster);
	return broken;
}

/* Frees what a run held. */
static void clear(soak_t *soak)
{
	judge_free(soak->judge);
	faults_clear(&soak->faults);
	g_async_queue_unref(soak->load.records);
	g_ptr_array_free(soak->processes, TRUE);
	g_rand_free(soak->rand);
	cluster_free(soak->cluster);
}

static const struct argp_option option_list[] = {
	{"seed", 's', "N", 0, "Draw the faults from this number (the time)", 0},
	{"rounds", 'r', "N", 0, "Series of faults (5)", 0},
	{"proxies", 'p', "N", 0, "Proxies, each with a target and two links (6)", 0},
	{"callers", 'c', "N", 0, "Callers at each proxy (2)", 0},
	{"keep", 'k', 0, 0, "Keep the folder of settings and logs", 0},
	{0},
};

/* Reads a number of the command line. */
static error_t parse_number(struct argp_state *state, const char *text, int least, int most, int *number)
{
	gint64 value = 0;

	if (!g_ascii_string_to_signed(text, 10, least, most, &value, NULL))
		argp_error(state, "%s: give a whole number from %d to %d", text, least, most);
	*number = (int)value;
	return 0;
}

/* Reads one option. */
static error_t parse_option(int key, char *value, struct argp_state *state)
{
	int seed = 0;

	switch (key) {
	case 's':
		parse_number(state, value, 0, G_MAXINT32, &seed);
		options.seed = (uint32_t)seed;
		return 0;
	case 'r':
		return parse_number(state, value, 1, MAX_ROUNDS, &options.rounds);
	case 'p':
		return parse_number(state, value, SOAK_SERVICES, SOAK_MAX_PROXIES, &options.proxies);
	case 'c':
		return parse_number(state, value, 1, MAX_CALLERS, &options.callers);
	case 'k':
		keep = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	const struct argp argp = {
		.options = option_list,
		.parser = parse_option,
		.doc = "Runs a mesh of real processes under faults and checks what it promises."};
	soak_t soak = {0};
	int broken;

	options.seed = (uint32_t)(g_get_real_time() / G_USEC_PER_SEC);
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	signal(SIGPIPE, SIG_IGN);
	printf("seed %u, %d proxies, %d rounds\n", options.seed, options.proxies, options.rounds);
	broken = run(&soak);
	clear(&soak);
	printf("seed %u: %s\n", options.seed, broken ? "promises were broken" : "every promise held");
	return broken ? EXIT_FAILURE : EXIT_SUCCESS;
}
