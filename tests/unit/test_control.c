/* Failures of control replicas and proxies as real processes, by the scripts of tests/control. */
#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "cluster.h"
#include "script.h"

enum { STEP_US = 50000, MAX_STEPS = 400, TEST_S = 120 };

typedef struct {
	cluster_t *cluster;
	int former_leader;
} run_t;

/* Tells whether a condition holds. */
typedef bool (*condition_t)(run_t *run, const char *argument);

/* Returns the exit status of the operators' tool and what it printed, times left out. */
static int ctl(run_t *run, const char *const *arguments, GString *out)
{
	g_autoptr(GString) text = g_string_new(NULL);
	g_autoptr(GRegex) time =
		g_regex_new("\\d{4}-\\d{2}-\\d{2}T[0-9:.]+Z|\\d+ ms, digest [0-9a-f]+", 0, 0, NULL);
	g_autoptr(GRegex) path = g_regex_new("/tmp/caraway-[^/]*/", 0, 0, NULL);
	g_autofree char *timeless = NULL;
	g_autofree char *shown = NULL;
	int status = cluster_ctl(run->cluster, arguments, text);

	timeless = g_regex_replace_literal(time, text->str, -1, 0, "TIME", 0, NULL);
	shown = g_regex_replace_literal(path, timeless, -1, 0, "", 0, NULL);
	g_string_append(out, shown);
	return status;
}

/* Returns true when a replica leads, and another one than before where "other" is asked for. */
static bool leader_stands(run_t *run, const char *argument)
{
	int leader = cluster_leader(run->cluster);

	if (!leader || (!strcmp(argument, "other") && leader == run->former_leader))
		return false;
	run->former_leader = leader;
	return true;
}

/* Returns true when the status of the replicas shows a text. */
static bool status_shows(run_t *run, const char *text)
{
	const char *arguments[] = {"status", NULL};
	g_autoptr(GString) out = g_string_new(NULL);

	ctl(run, arguments, out);
	return strstr(out->str, text) != NULL;
}

/* Returns true when every selected proxy holds a change that is in force. */
static bool in_force(run_t *run, const char *number)
{
	const char *show[] = {"show", number, NULL};
	const char *held[] = {"inforce", NULL};
	g_autoptr(GString) change = g_string_new(NULL);
	g_autoptr(GString) proxies = g_string_new(NULL);

	ctl(run, show, change);
	ctl(run, held, proxies);
	return strstr(change->str, "in force") && strstr(proxies->str, " 0 behind, 0 silent") &&
	       !strstr(proxies->str, "0 selected");
}

/* Returns true when the listing of what is in force matches a pattern. */
static bool listing_shows(run_t *run, const char *pattern)
{
	const char *arguments[] = {"inforce", NULL};
	g_autoptr(GString) out = g_string_new(NULL);

	ctl(run, arguments, out);
	return g_regex_match_simple(pattern, out->str, 0, 0);
}

/* Returns true when three replicas have a vote and hold the same log. */
static bool all_vote(run_t *run, const char *unused)
{
	const char *arguments[] = {"status", NULL};
	g_autoptr(GString) out = g_string_new(NULL);
	g_autoptr(GRegex) row = g_regex_new("^\\d +127\\S+ +yes +(\\d+) +yes", G_REGEX_MULTILINE, 0, NULL);
	g_autoptr(GMatchInfo) match = NULL;
	g_autofree char *first = NULL;
	int equal = 0;

	(void)unused;
	ctl(run, arguments, out);
	for (g_regex_match(row, out->str, 0, &match); g_match_info_matches(match);
	     g_match_info_next(match, NULL)) {
		g_autofree char *index = g_match_info_fetch(match, 1);

		if (!first)
			first = g_strdup(index);
		equal += !strcmp(first, index);
	}
	return equal == CLUSTER_REPLICAS;
}

/* Waits until a condition holds; prints whether it came to hold. */
static void await(run_t *run, condition_t condition, const char *argument, GString *out)
{
	for (int i = 0; i < MAX_STEPS; i++) {
		if (condition(run, argument)) {
			g_string_append(out, "yes\n");
			return;
		}
		g_usleep(STEP_US);
	}
	g_string_append(out, "no\n");
}

/* Runs "await WHAT [ARGUMENT]". */
static void run_await(run_t *run, int argc, char **argv, GString *out)
{
	const char *argument = argc > 2 ? argv[2] : "";

	if (!strcmp(argv[1], "leader"))
		await(run, leader_stands, argument, out);
	else if (!strcmp(argv[1], "in-force"))
		await(run, in_force, argument, out);
	else if (!strcmp(argv[1], "status"))
		await(run, status_shows, argument, out);
	else if (!strcmp(argv[1], "shows"))
		await(run, listing_shows, argument, out);
	else if (!strcmp(argv[1], "all-vote"))
		await(run, all_vote, argument, out);
	else
		g_string_append(out, "unknown condition\n");
}

/* Returns the processes that a word of a script names. */
static GPtrArray *named(run_t *run, const char *word)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	int leader = run->former_leader;

	if (g_str_has_prefix(word, "zone="))
		return cluster_proxies_in(run->cluster, word + strlen("zone="));
	for (int id = 1; id <= CLUSTER_REPLICAS; id++) {
		g_autofree char *name = g_strdup_printf("r%d", id);
		bool matches = !strcmp(word, "replicas") || (!strcmp(word, "leader") && id == leader) ||
			       (!strcmp(word, "followers") && id != leader) ||
			       (!strcmp(word, "follower") && id == leader % CLUSTER_REPLICAS + 1);

		if (matches)
			g_ptr_array_add(names, g_steal_pointer(&name));
	}
	if (!names->len)
		g_ptr_array_add(names, g_strdup(word));
	return names;
}

/* Carries out an action on one process; prints how it ended where it is told to end. */
static void act_on(run_t *run, const char *action, const char *name, GString *out)
{
	if (strcmp(action, "start") != 0 && strcmp(action, "format") != 0 &&
	    !cluster_runs(run->cluster, name) && strcmp(action, "lose-disk") != 0)
		return;
	if (!strcmp(action, "start")) {
		cluster_start(run->cluster, name);
	} else if (!strcmp(action, "format")) {
		cluster_format_replica(run->cluster, name[1] - '0');
	} else if (!strcmp(action, "lose-disk")) {
		cluster_remove_data(run->cluster, name[1] - '0');
	} else if (!strcmp(action, "fill-disk")) {
		cluster_limit_files(run->cluster, name, 0);
	} else if (!strcmp(action, "free-disk")) {
		cluster_limit_files(run->cluster, name, -1);
	} else if (!strcmp(action, "freeze")) {
		cluster_signal(run->cluster, name, SIGSTOP);
	} else if (!strcmp(action, "thaw")) {
		cluster_signal(run->cluster, name, SIGCONT);
	} else if (!strcmp(action, "kill")) {
		cluster_signal(run->cluster, name, SIGKILL);
		cluster_wait(run->cluster, name);
	} else if (!strcmp(action, "stop")) {
		cluster_signal(run->cluster, name, SIGTERM);
		g_string_append_printf(out, "exit %d\n", cluster_wait(run->cluster, name));
	} else {
		g_string_append(out, "unknown action\n");
	}
}

/* Prints whether the versions that each proxy held ever went down. */
static void check_forward(run_t *run, GString *out)
{
	GPtrArray *names = cluster_proxies_in(run->cluster, "*");

	for (guint i = 0; i < names->len; i++) {
		const char *name = g_ptr_array_index(names, i);
		GArray *versions = cluster_versions(run->cluster, name);
		bool forward = versions->len > 0;

		for (guint j = 1; j < versions->len; j++)
			forward = forward && g_array_index(versions, uint64_t, j) >=
						     g_array_index(versions, uint64_t, j - 1);
		g_string_append_printf(out, "%s %s\n", name, forward ? "forward" : "went back");
		g_array_free(versions, TRUE);
	}
	g_ptr_array_free(names, TRUE);
}

/* Runs "ctl OPERATOR WORD..." or, without an operator, "ctl - WORD...", and prints the exit status when it is not 0. */
static void run_ctl(run_t *run, int argc, char **argv, GString *out)
{
	g_autofree const char **arguments = g_new0(const char *, (size_t)argc + 2);
	bool anonymous = !strcmp(argv[1], "-");
	int status;

	arguments[0] = "--operator";
	for (int i = 1; i < argc; i++)
		arguments[i] = argv[i];
	status = ctl(run, anonymous ? arguments + 2 : arguments, out);
	if (status)
		g_string_append_printf(out, "exit %d\n", status);
}

/*
 * Runs "refused OPERATOR WORD..." and prints whether the command was refused or
 * left open, which of the two depends on the replica that the tool asks first.
 */
static void run_refused(run_t *run, int argc, char **argv, GString *out)
{
	g_autoptr(GString) text = g_string_new(NULL);
	bool refused;

	run_ctl(run, argc, argv, text);
	refused = g_regex_match_simple("^carawayctl: (no-quorum|unknown-outcome): ", text->str,
				       G_REGEX_MULTILINE, 0);
	g_string_append(out, refused ? "yes\n" : text->str);
}

/* Carries out one command of a script. */
static void command(void *data, int argc, char **argv, GString *out)
{
	run_t *run = data;

	if (!strcmp(argv[0], "ctl")) {
		run_ctl(run, argc, argv, out);
	} else if (!strcmp(argv[0], "refused")) {
		run_refused(run, argc, argv, out);
	} else if (!strcmp(argv[0], "await")) {
		run_await(run, argc, argv, out);
	} else if (!strcmp(argv[0], "proxy")) {
		cluster_add_proxy(run->cluster, argv[1], argv[2], argv[3]);
		cluster_start_proxy(run->cluster, argv[1]);
	} else if (!strcmp(argv[0], "get")) {
		g_autofree char *answer = cluster_get(run->cluster, argv[1], argv[2]);

		g_string_append_printf(out, "%s\n", answer);
	} else if (!strcmp(argv[0], "versions")) {
		check_forward(run, out);
	} else if (!strcmp(argv[0], "sleep")) {
		g_usleep((gulong)atoi(argv[1]) * G_USEC_PER_SEC / 10);
	} else {
		GPtrArray *names = named(run, argv[1]);

		for (guint i = 0; i < names->len; i++)
			act_on(run, argv[0], g_ptr_array_index(names, i), out);
		g_ptr_array_free(names, TRUE);
	}
}

START_TEST(test_script)
{
	GPtrArray *files = script_list("tests/control");
	run_t run = {.cluster = cluster_new()};
	char *difference = script_run(g_ptr_array_index(files, _i), command, &run);

	cluster_free(run.cluster);
	ck_assert_msg(!difference, "%s", difference);
	g_ptr_array_free(files, TRUE);
}
END_TEST

int main(void)
{
	return script_main("tests/control", test_script, TEST_S);
}
