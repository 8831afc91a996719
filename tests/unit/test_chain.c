/*
 * Nested calls of eleven levels through separate processes: the target of each
 * level calls the next level through its proxy, the last calls a leaf service.
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
	PROXIES = 4, /* two of the service chain, two of the service leaf */
	DEADLINE_MS = 4000,
	CALLS = 100,
	RETRY_PERCENT = 10,
	RETRY_BURST = 10, /* retries that a full retry budget allows, per proxy */
	MAX_POLLS = 1000,
	POLL_INTERVAL_US = 10000,
	TIMEOUT_S = 90
};

static const char *const proxy_names[PROXIES] = {"c0", "c1", "l0", "l1"};
static const char *const proxy_services[PROXIES] = {"chain", "chain", "leaf", "leaf"};

/* The processes and ports of a chain; all proxies read the same view file. */
typedef struct {
	process_t targets[PROXIES];
	process_t proxies[PROXIES];
	int target_ports[PROXIES];
	int http_ports[PROXIES];
	char *view_path; /* of the view file in the folder */
	char *folder;
} chain_t;

/* Starts a target and its proxy, and appends the proxy as an endpoint to the text of the view file. */
static void start_target_and_proxy(chain_t *chain, int i, GString *view)
{
	const char *target_arguments[] = {"--service-ms=1", "--slots=60", NULL};
	g_autofree char *port = NULL, *output_line = NULL, *target = NULL, *incarnation = NULL;
	int call_port;

	process_start(&chain->targets[i], "standin_target", target_arguments);
	port = process_read_line(&chain->targets[i]);
	chain->target_ports[i] = atoi(port);
	target = g_strdup_printf("127.0.0.1:%s", port);
	incarnation = g_strdup_printf("%d", 10 + i);
	const char *arguments[] = {
		"--vm",		proxy_names[i],	  "--target", target, "--incarnation",	 incarnation,
		"--view",	chain->view_path, "--slots",  "60",   "--retry-percent", "10",
		"--timeout-ms", "5000",		  NULL};
	process_start(&chain->proxies[i], "traffic_driver", arguments);
	output_line = process_read_line(&chain->proxies[i]);
	ck_assert_int_eq(sscanf(output_line, "{\"http\":\"127.0.0.1:%d\",\"call\":\"127.0.0.1:%d\"",
				&chain->http_ports[i], &call_port),
			 2);
	g_string_append_printf(view,
			       "[endpoint %s]\nzone=zone\nservice=%s\naddress=127.0.0.1:%d\nincarnation=%s\n"
			       "slots=60\n",
			       proxy_names[i], proxy_services[i], call_port, incarnation);
}

/* Changes a setting of a target; see standin_target. */
static void change_target_setting(const chain_t *chain, int target, const char *setting, int value)
{
	g_autofree char *path = g_strdup_printf("/set?%s=%d", setting, value);
	caller_response_t response;

	caller_call(chain->target_ports[target], "GET", path, "-", 1000, &response);
	ck_assert_int_eq(response.status, 200);
}

/* Starts the chain and waits until a call through all levels succeeds. */
static void start_chain(chain_t *chain)
{
	GString *view = g_string_new("[view]\nversion=1\n[route chain]\npath=/chain\nservice=chain\n"
				     "[route leaf]\npath=/leaf\nservice=leaf\n");
	caller_response_t response = {0};

	chain->folder = g_dir_make_tmp("chain-XXXXXX", NULL);
	chain->view_path = g_build_filename(chain->folder, "view.ini", NULL);
	for (int i = 0; i < PROXIES; i++)
		start_target_and_proxy(chain, i, view);
	ck_assert(g_file_set_contents(chain->view_path, view->str, -1, NULL));
	g_string_free(view, TRUE);
	change_target_setting(chain, 0, "next", chain->http_ports[0]);
	change_target_setting(chain, 1, "next", chain->http_ports[1]);
	for (int i = 0; i < MAX_POLLS && response.status != 200; i++) {
		caller_call(chain->http_ports[0], "GET", "/chain/10", "wait", DEADLINE_MS, &response);
		if (response.status != 200)
			usleep(POLL_INTERVAL_US);
	}
	ck_assert_int_eq(response.status, 200);
}

/* Kills the processes and removes the folder. */
static void stop_chain(chain_t *chain)
{
	for (int i = 0; i < PROXIES; i++) {
		process_kill(&chain->proxies[i]);
		process_kill(&chain->targets[i]);
	}
	g_unlink(chain->view_path);
	g_rmdir(chain->folder);
	g_free(chain->view_path);
	g_free(chain->folder);
}

/* The depth grows by one per level, and each level has less time left than the level that called it. */
START_TEST(test_deadlines_shrink)
{
	int depth, deadline_ms, previous_ms = DEADLINE_MS;
	const char *level_line;
	caller_response_t response;
	chain_t chain;

	start_chain(&chain);
	caller_call(chain.http_ports[0], "GET", "/chain/10", "deep", DEADLINE_MS, &response);
	ck_assert_int_eq(response.status, 200);
	level_line = response.body;
	for (int level = 1; level <= LEVELS; level++) {
		ck_assert_int_eq(sscanf(level_line, "depth=%d deadline=%d", &depth, &deadline_ms), 2);
		ck_assert_int_eq(depth, level);
		ck_assert_int_lt(deadline_ms, previous_ms);
		previous_ms = deadline_ms;
		level_line = strchr(level_line, '\n') + 1;
	}
	stop_chain(&chain);
}
END_TEST

/*
 * The leaf cuts off every response: only the level that calls the leaf may retry,
 * within its retry budget.  Retries at each level would multiply.
 */
START_TEST(test_retries_not_stacked)
{
	caller_response_t response;
	chain_t chain;
	int executions = 0;

	start_chain(&chain);
	change_target_setting(&chain, 2, "cut-percent", 100);
	change_target_setting(&chain, 3, "cut-percent", 100);
	for (int i = 0; i < CALLS; i++) {
		g_autofree char *id = g_strdup_printf("call-%d", i);
		g_autofree char *path = g_strdup_printf("/executions/%s", id);

		caller_call(chain.http_ports[0], "GET", "/chain/10", id, DEADLINE_MS, &response);
		ck_assert_int_ge(response.status, 500);
		for (int leaf = 2; leaf < PROXIES; leaf++) {
			caller_call(chain.target_ports[leaf], "GET", path, "-", 1000, &response);
			executions += atoi(response.body);
		}
		ck_assert_int_le(executions, (i + 1) * (100 + RETRY_PERCENT) / 100 + 2 * RETRY_BURST);
	}
	printf("leaf executions per call with every response cut off: %.2f\n", (double)executions / CALLS);
	stop_chain(&chain);
}
END_TEST

/* Adds a test as a separate test case, so that CK_RUN_CASE can select it. */
static void add_test_case(Suite *suite, const TTest *test)
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

	add_test_case(suite, test_deadlines_shrink);
	add_test_case(suite, test_retries_not_stacked);
	return script_run_suite(suite);
}
