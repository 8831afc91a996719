/*
 * Calls eleven levels deep on real processes: each level's target calls the
 * next through a proxy, the last calls a leaf service.
 */
#include <check.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "caller.h"
#include "process.h"
#include "script.h"

enum {
	LEVELS = 11,
	PROXIES = 4, /* two of the chain's service, two of the leaf's */
	DEADLINE_MS = 4000,
	CALLS = 100,
	RETRY_PERCENT = 10,
	BURST = 10, /* retries that a full budget holds, at each of two proxies */
	MAX_STEPS = 1000,
	STEP_US = 10000,
	TIMEOUT_S = 90
};

static const char *const names[PROXIES] = {"c0", "c1", "l0", "l1"};
static const char *const services[PROXIES] = {"chain", "chain", "leaf", "leaf"};

/* The processes of a chain. */
typedef struct {
	process_t targets[PROXIES];
	process_t proxies[PROXIES];
	int target_ports[PROXIES];
	int http_ports[PROXIES];
	char *view;
	char *folder;
} chain_t;

/* Starts one target and the proxy beside it; adds it to the view's text. */
static void start_pair(chain_t *chain, int i, GString *view)
{
	const char *target_arguments[] = {"--service-ms=1", "--slots=60", NULL};
	g_autofree char *port = NULL, *line = NULL, *target = NULL, *incarnation = NULL;
	int call_port;

	process_start(&chain->targets[i], "standin_target", target_arguments);
	port = process_read_line(&chain->targets[i]);
	chain->target_ports[i] = atoi(port);
	target = g_strdup_printf("127.0.0.1:%s", port);
	incarnation = g_strdup_printf("%d", 10 + i);
	const char *arguments[] = {
		"--vm",		names[i],    "--target", target, "--incarnation",   incarnation,
		"--view",	chain->view, "--slots",	 "60",	 "--retry-percent", "10",
		"--timeout-ms", "5000",	     NULL};
	process_start(&chain->proxies[i], "traffic_driver", arguments);
	line = process_read_line(&chain->proxies[i]);
	ck_assert_int_eq(sscanf(line, "{\"http\":\"127.0.0.1:%d\",\"call\":\"127.0.0.1:%d\"",
				&chain->http_ports[i], &call_port),
			 2);
	g_string_append_printf(view,
			       "[endpoint %s]\nzone=zone\nservice=%s\naddress=127.0.0.1:%d\nincarnation=%s\n"
			       "slots=60\n",
			       names[i], services[i], call_port, incarnation);
}

/* Tells a target the port of the proxy that it calls. */
static void set(const chain_t *chain, int target, const char *setting, int value)
{
	g_autofree char *path = g_strdup_printf("/set?%s=%d", setting, value);
	answer_t answer;

	caller_call(chain->target_ports[target], "GET", path, "-", 1000, &answer);
	ck_assert_int_eq(answer.status, 200);
}

/* Starts the chain and waits until a whole call succeeds. */
static void start(chain_t *chain)
{
	GString *view = g_string_new("[view]\nversion=1\n[route chain]\npath=/chain\nservice=chain\n"
				     "[route leaf]\npath=/leaf\nservice=leaf\n");
	answer_t answer = {0};

	chain->folder = g_dir_make_tmp("chain-XXXXXX", NULL);
	chain->view = g_build_filename(chain->folder, "view.ini", NULL);
	for (int i = 0; i < PROXIES; i++)
		start_pair(chain, i, view);
	ck_assert(g_file_set_contents(chain->view, view->str, -1, NULL));
	g_string_free(view, TRUE);
	set(chain, 0, "next", chain->http_ports[0]);
	set(chain, 1, "next", chain->http_ports[1]);
	for (int i = 0; i < MAX_STEPS && answer.status != 200; i++) {
		caller_call(chain->http_ports[0], "GET", "/chain/10", "wait", DEADLINE_MS, &answer);
		if (answer.status != 200)
			usleep(STEP_US);
	}
	ck_assert_int_eq(answer.status, 200);
}

/* Stops the chain. */
static void stop(chain_t *chain)
{
	for (int i = 0; i < PROXIES; i++) {
		process_kill(&chain->proxies[i]);
		process_kill(&chain->targets[i]);
	}
	g_unlink(chain->view);
	g_rmdir(chain->folder);
	g_free(chain->view);
	g_free(chain->folder);
}

/* Each level is one deeper and has less time than the one above it. */
START_TEST(test_deadlines_shrink)
{
	int depth, deadline_ms, above_ms = DEADLINE_MS;
	const char *line;
	answer_t answer;
	chain_t chain;

	start(&chain);
	caller_call(chain.http_ports[0], "GET", "/chain/10", "deep", DEADLINE_MS, &answer);
	ck_assert_int_eq(answer.status, 200);
	line = answer.body;
	for (int level = 1; level <= LEVELS; level++) {
		ck_assert_int_eq(sscanf(line, "depth=%d deadline=%d", &depth, &deadline_ms), 2);
		ck_assert_int_eq(depth, level);
		ck_assert_int_lt(deadline_ms, above_ms);
		above_ms = deadline_ms;
		line = strchr(line, '\n') + 1;
	}
	stop(&chain);
}
END_TEST

/* Every answer of the leaf is cut: only the level above it retries, within its budget. */
START_TEST(test_retries_not_stacked)
{
	answer_t answer;
	chain_t chain;
	int ran = 0;

	start(&chain);
	set(&chain, 2, "cut-percent", 100);
	set(&chain, 3, "cut-percent", 100);
	for (int i = 0; i < CALLS; i++) {
		g_autofree char *id = g_strdup_printf("call-%d", i);
		g_autofree char *path = g_strdup_printf("/executions/%s", id);

		caller_call(chain.http_ports[0], "GET", "/chain/10", id, DEADLINE_MS, &answer);
		ck_assert_int_ge(answer.status, 500);
		for (int leaf = 2; leaf < PROXIES; leaf++) {
			caller_call(chain.target_ports[leaf], "GET", path, "-", 1000, &answer);
			ran += atoi(answer.body);
		}
		ck_assert_int_le(ran, (i + 1) * (100 + RETRY_PERCENT) / 100 + 2 * BURST);
	}
	printf("leaf runs for a call with every answer cut: %.2f\n", (double)ran / CALLS);
	stop(&chain);
}
END_TEST

/* Adds a test as a case of its own, so that CK_RUN_CASE can select it. */
static void add(Suite *suite, const TTest *test)
{
	TCase *tcase = tcase_create(test->name);

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, test);
	suite_add_tcase(suite, tcase);
}

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("chain");

	add(suite, test_deadlines_shrink);
	add(suite, test_retries_not_stacked);
	return script_run_suite(suite);
}
