/*
 * Fault soak: runs a mesh of real processes under overlapping random faults, with
 * callers sending requests and operators making changes.
 *
 *   soak --seed N [--rounds N] [--proxies N] [--callers N] [--keep]
 *
 * Each round chooses faults with a generator seeded from --seed, injects them,
 * and ends when all are over and every proxy serves the newest accepted change.
 * The exit status is 0 when no invariant was violated.
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
#include "observer.h"
#include "operator.h"

enum {
	POLL_INTERVAL_MS = 20,
	START_LIMIT_MS = 20000, /* for a newly formatted and started mesh to settle */
	/* Grace period of a proxy, plus the longest pause of another process meanwhile. */
	STOP_LIMIT_MS = 18000,
	QUIET_MS = 3000,	    /* without faults before a round of planned work */
	PLANNED_ROUND_INTERVAL = 3, /* on average, one round in three has planned work only */
	PROBE_DEADLINE_MS = 2000,
	PATH_BYTES = 48,
	DEFAULT_ROUNDS = 5,
	DEFAULT_PROXIES = 6,
	DEFAULT_CALLERS = 2,
	MAX_ROUNDS = 100000,
	MAX_CALLERS = 50
};

static soak_options_t options = {
	.rounds = DEFAULT_ROUNDS, .proxies = DEFAULT_PROXIES, .callers = DEFAULT_CALLERS};
static bool keep_folder;

/* State of a run. */
typedef struct {
	cluster_t *cluster;
	soak_shared_t shared;
	faults_t faults;
	soak_observer_t *observer;
	operators_t *operators;
	GRand *rand;
	GPtrArray *processes; /* char *, names of all processes */
} soak_t;

/* Returns the name of a proxy; the caller frees it. */
static char *proxy_name(int number)
{
	return g_strdup_printf("p%d", number);
}

/* Starts the replicas, and the proxies with their targets. */
static void start_mesh(soak_t *soak)
{
	static const char *const zones[] = {"miskolc", "eger", "ozd"};

	soak->cluster = cluster_new();
	if (keep_folder)
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

		/* Assign zones so that each service has targets in several of them. */
		cluster_add_proxy(soak->cluster, name,
				  zones[(i / SOAK_SERVICES + i) % (int)G_N_ELEMENTS(zones)], service);
		cluster_start_proxy(soak->cluster, name);
		soak->shared.ports[i] = cluster_http_port(soak->cluster, name);
		g_ptr_array_add(soak->processes, g_strdup_printf("target-%s", name));
		g_ptr_array_add(soak->processes, g_steal_pointer(&name));
	}
	soak->shared.proxies = options.proxies;
	soak->shared.records = g_async_queue_new_full(g_free);
}

/* Checks that a process that was not killed ended after SIGTERM and with status 0. */
static void check_exit_status(soak_t *soak, const char *name, int status)
{
	if (status && g_hash_table_contains(soak->faults.stopping, name))
		soak_observer_add_violation(
			soak->observer,
			g_strdup_printf("%s ended with status %d after SIGTERM", name, status));
	else if (!g_hash_table_contains(soak->faults.stopping, name))
		soak_observer_add_violation(
			soak->observer,
			g_strdup_printf("%s ended unexpectedly with status %d", name, status));
}

/* Checks that a process ends within STOP_LIMIT_MS after SIGTERM; reports it once. */
static void check_stop_limit(soak_t *soak, const char *name)
{
	gpointer signalled_ms = g_hash_table_lookup(soak->faults.stopping, name);

	if (!signalled_ms || soak_now_ms() < (int64_t)GPOINTER_TO_SIZE(signalled_ms) + STOP_LIMIT_MS)
		return;
	soak_observer_add_violation(soak->observer, g_strdup_printf("%s has not ended after SIGTERM", name));
	g_hash_table_remove(soak->faults.stopping, name);
}

/* Checks the exit status of each process that has ended, after SIGTERM or unexpectedly, and restarts it. */
static void restart_ended_processes(soak_t *soak)
{
	for (guint i = 0; i < soak->processes->len; i++) {
		const char *name = g_ptr_array_index(soak->processes, i);
		int status;

		if (!cluster_is_running(soak->cluster, name))
			continue;
		if (!cluster_reap(soak->cluster, name, &status)) {
			check_stop_limit(soak, name);
			continue;
		}
		check_exit_status(soak, name, status);
		faults_process_ended(&soak->faults, name);
		cluster_start(soak->cluster, name);
	}
}

/* Returns whether a GET of a path through a proxy succeeds. */
static bool serves_path(const soak_t *soak, int proxy, const char *path)
{
	caller_response_t answer;

	caller_call(soak->shared.ports[proxy], "GET", path, "probe", PROBE_DEADLINE_MS, &answer);
	return answer.status == 200;
}

/* Returns the first proxy that does not serve the newest change and every service, -1 when all do. */
static int find_outdated_proxy(const soak_t *soak)
{
	char path[PATH_BYTES];

	for (int proxy = 0; proxy < soak->shared.proxies; proxy++) {
		g_snprintf(path, sizeof(path), "/turn/%d/", atomic_load(&soak->shared.newest_change));
		if (!serves_path(soak, proxy, path))
			return proxy;
		for (int i = 0; i < SOAK_SERVICES; i++) {
			g_snprintf(path, sizeof(path), "/s%d/x", i);
			if (!serves_path(soak, proxy, path))
				return proxy;
		}
	}
	return -1;
}

/* Returns whether all replicas are voters and reachable by the status command. */
static bool all_replicas_vote(const soak_t *soak)
{
	const char *arguments[] = {"--timeout=2", "status", NULL};
	g_autoptr(GString) output = g_string_new(NULL);
	g_autoptr(GRegex) voter_row =
		g_regex_new("^\\d +127\\S+ +yes +\\d+ +yes", G_REGEX_MULTILINE, 0, NULL);
	g_autoptr(GMatchInfo) match = NULL;
	int count = 0;

	cluster_run_carawayctl(soak->cluster, arguments, output);
	for (g_regex_match(voter_row, output->str, 0, &match); g_match_info_matches(match);
	     g_match_info_next(match, NULL))
		count++;
	return count == CLUSTER_REPLICAS;
}

/* Waits one polling interval, then restarts ended processes and checks the new calls. */
static void wait_and_check(soak_t *soak)
{
	g_usleep(POLL_INTERVAL_MS * SOAK_US_PER_MS);
	restart_ended_processes(soak);
	soak_observer_update(soak->observer);
}

/* Pauses changes; waits until the last one is accepted and in force everywhere and every replica votes. */
static void wait_until_settled(soak_t *soak, int64_t limit_ms)
{
	int64_t start_ms = soak_now_ms();
	int outdated = 0;

	operators_pause(soak->operators, true);
	while (soak_now_ms() < start_ms + limit_ms) {
		wait_and_check(soak);
		if (!operators_idle(soak->operators) || !atomic_load(&soak->shared.newest_change))
			continue;
		outdated = find_outdated_proxy(soak);
		if (outdated < 0 && all_replicas_vote(soak)) {
			printf("  settled after %d ms, newest change %d\n", (int)(soak_now_ms() - start_ms),
			       atomic_load(&soak->shared.newest_change));
			return;
		}
	}
	soak_observer_add_violation(
		soak->observer,
		!operators_idle(soak->operators) ? g_strdup("no change was accepted after the faults ended")
		: outdated >= 0 ? g_strdup_printf("proxy %d does not serve change %d after the faults ended",
						  outdated, atomic_load(&soak->shared.newest_change))
				: g_strdup("not every replica votes after the faults ended"));
}

/* Prints the faults of a round with their begin and duration in milliseconds. */
static void print_round(int number, bool planned, const GArray *round)
{
	int64_t now_ms = soak_now_ms();

	printf("round %d%s:", number, planned ? ", planned work" : "");
	for (guint i = 0; i < round->len; i++) {
		const fault_t *fault = &g_array_index(round, fault_t, i);

		printf(" %s %s", fault_name(fault->kind), fault->process);
		if (fault->amount)
			printf(" %d", fault->amount);
		printf(" at %d for %d;", (int)(fault->begin_ms - now_ms),
		       (int)(fault->end_ms - fault->begin_ms));
	}
	printf("\n");
	fflush(stdout);
}

/* Waits QUIET_MS without faults, so that earlier ones do not affect the calls of a round of planned work. */
static void wait_quiet_period(soak_t *soak)
{
	int64_t until_ms = soak_now_ms() + QUIET_MS;

	while (soak_now_ms() < until_ms)
		wait_and_check(soak);
}

/* Runs one round of faults. */
static void run_round(soak_t *soak, int number)
{
	bool planned = g_rand_int_range(soak->rand, 0, PLANNED_ROUND_INTERVAL) == 0;
	GArray *round;

	if (planned)
		wait_quiet_period(soak);
	round = faults_choose(&soak->faults, soak->rand, planned);
	print_round(number, planned, round);
	soak_observer_set_planned(soak->observer, planned);
	operators_pause(soak->operators, false);
	while (faults_step(&soak->faults, round) || g_hash_table_size(soak->faults.stopping))
		wait_and_check(soak);
	wait_until_settled(soak, SOAK_IN_FORCE_LIMIT_MS);
	soak_observer_set_planned(soak->observer, false);
	soak_observer_print_violations(soak->observer);
	fflush(stdout);
	g_array_free(round, TRUE);
}

/* Checks at the end that every accepted change is listed as in force. */
static void check_changes(soak_t *soak)
{
	const char *arguments[] = {"--timeout=5", "changes", NULL};
	g_autoptr(GString) output = g_string_new(NULL);

	cluster_run_carawayctl(soak->cluster, arguments, output);
	for (int change = 1; change <= atomic_load(&soak->shared.newest_change); change++) {
		g_autofree char *pattern = g_strdup_printf("^%d +in force .*Turn %d$", change, change);

		if (!g_regex_match_simple(pattern, output->str, G_REGEX_MULTILINE, 0))
			soak_observer_add_violation(
				soak->observer,
				g_strdup_printf("accepted change %d is not listed as in force", change));
	}
}

/* Runs the soak; returns the number of violations. */
static int run_soak(soak_t *soak)
{
	callers_t *callers;
	char *error;
	int violations;

	start_mesh(soak);
	soak->rand = g_rand_new_with_seed(options.seed);
	soak->observer = soak_observer_new(soak->cluster, &soak->shared);
	faults_init(&soak->faults, soak->cluster, &soak->shared);
	for (guint i = 0; i < soak->faults.proxies->len; i++)
		soak_observer_add_target(soak->observer, g_ptr_array_index(soak->faults.proxies, i));
	soak->operators =
		operators_start(soak->cluster, &soak->shared, cluster_folder(soak->cluster), options.seed);
	while (!atomic_load(&soak->shared.newest_change))
		wait_and_check(soak);
	wait_until_settled(soak, START_LIMIT_MS);
	callers = callers_start(&soak->shared, options.callers, options.seed);
	for (int i = 1; i <= options.rounds; i++)
		run_round(soak, i);
	atomic_store(&soak->shared.stop, true);
	callers_stop(callers);
	check_changes(soak);
	while ((error = operators_next_error(soak->operators)))
		soak_observer_add_violation(soak->observer, error);
	operators_stop(soak->operators);
	soak_observer_update(soak->observer);
	violations = soak_observer_print_violations(soak->observer);
	soak_observer_print_calls(soak->observer);
	if (keep_folder || violations)
		printf("%s\n", cluster_folder(soak->cluster));
	if (violations)
		cluster_keep_folder(soak->cluster);
	return violations;
}

/* Frees the state of a run. */
static void free_soak(soak_t *soak)
{
	soak_observer_free(soak->observer);
	faults_clear(&soak->faults);
	g_async_queue_unref(soak->shared.records);
	g_ptr_array_free(soak->processes, TRUE);
	g_rand_free(soak->rand);
	cluster_free(soak->cluster);
}

static const struct argp_option option_list[] = {
	{"seed", 's', "N", 0, "Seed of the random faults (default: the time)", 0},
	{"rounds", 'r', "N", 0, "Rounds of faults (default: 5)", 0},
	{"proxies", 'p', "N", 0, "Proxies, each with a target and two links (default: 6)", 0},
	{"callers", 'c', "N", 0, "Callers per proxy (default: 2)", 0},
	{"keep", 'k', 0, 0, "Keep the folder with settings, data and logs", 0},
	{0},
};

/* Parses an integer option; reports a usage error unless it is from min to max. */
static error_t parse_number(struct argp_state *state, const char *text, int min, int max, int *number)
{
	gint64 value = 0;

	if (!g_ascii_string_to_signed(text, 10, min, max, &value, NULL))
		argp_error(state, "%s: give a whole number from %d to %d", text, min, max);
	*number = (int)value;
	return 0;
}

/* Parses one command-line option. */
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
		keep_folder = true;
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
		.doc = "Runs a mesh of real processes under random faults and checks its invariants."};
	soak_t soak = {0};
	int violations;

	options.seed = (uint32_t)(g_get_real_time() / G_USEC_PER_SEC);
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	signal(SIGPIPE, SIG_IGN);
	printf("seed %u, %d proxies, %d rounds\n", options.seed, options.proxies, options.rounds);
	violations = run_soak(&soak);
	free_soak(&soak);
	printf("seed %u: %s\n", options.seed, violations ? "violations found" : "no violation");
	return violations ? EXIT_FAILURE : EXIT_SUCCESS;
}
