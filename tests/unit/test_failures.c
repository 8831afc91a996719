/*
 * Calls during failures of separate processes.  Outcomes are checked against the
 * targets' execution counts by request id.  The waits only give a failure time
 * to take effect: no check depends on how long something took.
 */
#include <check.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "mesh.h"
#include "script.h"

enum { SETTLE_US = 400000, TIMEOUT_S = 60, CALLS_PER_PROXY = 8 };

static const char *const fast_target_arguments[] = {"--service-ms=5", NULL};
static const char *const slow_target_arguments[] = {"--service-ms=300", NULL};

/* Checks outcome and reason of a response that a proxy generated. */
static void check_outcome(const caller_response_t *response, const char *outcome, const char *reason)
{
	ck_assert_str_eq(response->outcome, outcome);
	ck_assert_str_eq(response->reason, reason);
	ck_assert(response->complete);
}

/* Checks that a response is complete and is the target's response to this request. */
static void check_answered(const caller_response_t *response, const char *id)
{
	g_autofree char *id_field = g_strdup_printf(" id=%s ", id);

	ck_assert_int_eq(response->status, 200);
	ck_assert(response->complete);
	ck_assert_msg(strstr(response->body, id_field) != NULL, "request %s: body is %s", id, response->body);
}

/* A target is suspended until after the deadline: the outcome is unknown, and the call runs at most once. */
START_TEST(test_target_frozen)
{
	caller_response_t response;
	mesh_t mesh;

	mesh_start(&mesh, fast_target_arguments);
	process_signal(&mesh.targets[MESH_A], SIGSTOP);
	caller_call(mesh.http_ports[MESH_ORIGIN], "POST", "/", "frozen", 800, &response);
	process_signal(&mesh.targets[MESH_A], SIGCONT);
	usleep(SETTLE_US);
	ck_assert_int_le(mesh_executions(&mesh, "frozen"), 1);
	check_outcome(&response, "unknown", "no-answer");
	mesh_stop(&mesh);
}
END_TEST

/*
 * The receiving proxy is killed while the call runs: the outcome is unknown, the
 * call runs once, and the restarted proxy serves calls.
 */
START_TEST(test_receiver_killed)
{
	caller_response_t response;
	mesh_t mesh;
	int fd;

	mesh_start(&mesh, slow_target_arguments);
	fd = caller_send(mesh.http_ports[MESH_ORIGIN], "POST", "/", "killed", 1500);
	mesh_wait_executed(&mesh, MESH_A, "killed");
	process_kill(&mesh.proxies[MESH_A]);
	caller_receive(fd, &response);
	usleep(SETTLE_US);
	ck_assert_int_eq(mesh_executions(&mesh, "killed"), 1);
	check_outcome(&response, "unknown", "no-answer");
	mesh_start_proxy(&mesh, MESH_A);
	mesh_wait_call_succeeds(&mesh, MESH_A);
	mesh_wait_call_succeeds(&mesh, MESH_ORIGIN);
	mesh_stop(&mesh);
}
END_TEST

/*
 * Two proxies have the same incarnation, as when they start in the same
 * microsecond: the calls of each are answered and run once.
 */
START_TEST(test_equal_incarnations)
{
	caller_response_t response;
	mesh_t mesh;

	mesh_start(&mesh, fast_target_arguments);
	process_kill(&mesh.proxies[MESH_ORIGIN]);
	mesh.incarnations[MESH_ORIGIN] = mesh.incarnations[MESH_A] - 1;
	mesh_start_proxy(&mesh, MESH_ORIGIN);
	for (int i = 0; i < 2 * CALLS_PER_PROXY; i++) {
		g_autofree char *id = g_strdup_printf("same-%d", i);

		caller_call(mesh.http_ports[i % 2 ? MESH_ORIGIN : MESH_A], "POST", "/", id, 1000, &response);
		check_answered(&response, id);
		ck_assert_int_eq(mesh_executions(&mesh, id), 1);
	}
	mesh_stop(&mesh);
}
END_TEST

/*
 * The origin proxy is killed while the call runs: the caller receives no response,
 * the call runs once, and the other proxies continue to serve calls.
 */
START_TEST(test_origin_killed)
{
	caller_response_t response;
	mesh_t mesh;
	int fd;

	mesh_start(&mesh, slow_target_arguments);
	fd = caller_send(mesh.http_ports[MESH_ORIGIN], "POST", "/", "orphan", 1500);
	mesh_wait_executed(&mesh, MESH_A, "orphan");
	process_kill(&mesh.proxies[MESH_ORIGIN]);
	caller_receive(fd, &response);
	ck_assert_int_eq(response.status, 0);
	usleep(SETTLE_US);
	ck_assert_int_eq(mesh_executions(&mesh, "orphan"), 1);
	caller_call(mesh.http_ports[MESH_A], "POST", "/", "next", 2000, &response);
	check_answered(&response, "next");
	mesh_start_proxy(&mesh, MESH_ORIGIN);
	mesh_wait_call_succeeds(&mesh, MESH_ORIGIN);
	mesh_stop(&mesh);
}
END_TEST

/*
 * The link delays replies past the deadline.  The call has run, so the outcome must
 * not be "not-run"; the late reply must not reach another call.
 */
START_TEST(test_replies_delayed)
{
	caller_response_t response;
	mesh_t mesh;

	mesh_start(&mesh, fast_target_arguments);
	process_send_command(&mesh.links[MESH_A], "hold-back");
	caller_call(mesh.http_ports[MESH_ORIGIN], "POST", "/", "held", 600, &response);
	check_outcome(&response, "unknown", "no-answer");
	ck_assert_int_eq(mesh_executions(&mesh, "held"), 1);
	process_send_command(&mesh.links[MESH_A], "heal");
	caller_call(mesh.http_ports[MESH_ORIGIN], "POST", "/", "after", 2000, &response);
	check_answered(&response, "after");
	ck_assert_int_eq(mesh_executions(&mesh, "held"), 1);
	ck_assert_int_eq(mesh_executions(&mesh, "after"), 1);
	mesh_stop(&mesh);
}
END_TEST

/*
 * The link delivers requests after the origin has given up: the call runs at most
 * once, and never if the outcome was "not-run".
 */
START_TEST(test_requests_delayed)
{
	caller_response_t response;
	mesh_t mesh;
	int executions;

	mesh_start(&mesh, fast_target_arguments);
	process_send_command(&mesh.links[MESH_A], "hold-forward");
	caller_call(mesh.http_ports[MESH_ORIGIN], "POST", "/", "late", 600, &response);
	process_send_command(&mesh.links[MESH_A], "heal");
	usleep(SETTLE_US);
	executions = mesh_executions(&mesh, "late");
	if (!strcmp(response.outcome, "not-run"))
		ck_assert_int_eq(executions, 0);
	else if (response.status == 200)
		ck_assert_int_eq(executions, 1);
	else
		ck_assert_int_le(executions, 1);
	ck_assert(response.complete);
	mesh_stop(&mesh);
}
END_TEST

/*
 * The link is cut after the request and before the reply: the outcome is unknown and
 * the call runs once.  Calls succeed at the other target, and again after healing.
 */
START_TEST(test_link_cut)
{
	caller_response_t response;
	mesh_t mesh;
	int fd;

	mesh_start(&mesh, slow_target_arguments);
	fd = caller_send(mesh.http_ports[MESH_ORIGIN], "POST", "/", "cut", 1500);
	mesh_wait_executed(&mesh, MESH_A, "cut");
	process_send_command(&mesh.links[MESH_A], "cut");
	caller_receive(fd, &response);
	check_outcome(&response, "unknown", "no-answer");
	ck_assert_int_eq(mesh_executions(&mesh, "cut"), 1);
	caller_call(mesh.http_ports[MESH_ORIGIN], "POST", "/", "elsewhere", 2000, &response);
	check_answered(&response, "elsewhere");
	ck_assert_int_eq(mesh_executions_at(&mesh, MESH_B, "elsewhere"), 1);
	process_send_command(&mesh.links[MESH_A], "heal");
	mesh_wait_call_succeeds(&mesh, MESH_ORIGIN);
	mesh_stop(&mesh);
}
END_TEST

/* An idempotent call is retried at another receiver when the first one does not reply. */
START_TEST(test_idempotent_retried)
{
	caller_response_t response;
	mesh_t mesh;

	mesh_start(&mesh, fast_target_arguments);
	process_send_command(&mesh.links[MESH_A], "hold");
	caller_call(mesh.http_ports[MESH_ORIGIN], "GET", "/", "again", 2000, &response);
	check_answered(&response, "again");
	ck_assert_int_eq(mesh_executions_at(&mesh, MESH_B, "again"), 1);
	mesh_stop(&mesh);
}
END_TEST

/* A target closes the connection in the middle of its response: an error, never a truncated success. */
START_TEST(test_cut_body)
{
	caller_response_t response;
	mesh_t mesh;

	mesh_start(&mesh, fast_target_arguments);
	mesh_change_target_setting(&mesh, MESH_A, "cut-percent=100");
	mesh_change_target_setting(&mesh, MESH_B, "cut-percent=100");
	caller_call(mesh.http_ports[MESH_ORIGIN], "POST", "/", "half", 2000, &response);
	check_outcome(&response, "unknown", "cut");
	ck_assert_int_eq(response.status, 502);
	ck_assert_int_eq(mesh_executions(&mesh, "half"), 1);
	caller_call(mesh.http_ports[MESH_ORIGIN], "GET", "/", "half-get", 2000, &response);
	check_outcome(&response, "unknown", "cut");
	mesh_stop(&mesh);
}
END_TEST

/*
 * A caller disconnects while its call waits for a slot: the call never runs.  The
 * other receiver is killed, so that its slots are not used instead.
 */
START_TEST(test_caller_gone)
{
	caller_response_t response;
	mesh_t mesh;
	int running_fds[12], abandoned_fd; /* 12 calls occupy every slot of the proxy */
	char id[16];

	mesh_start(&mesh, fast_target_arguments);
	mesh_change_target_setting(&mesh, MESH_A, "service-ms=1000");
	process_kill(&mesh.proxies[MESH_B]);
	for (int i = 0; i < 12; i++) {
		snprintf(id, sizeof(id), "first-%d", i);
		running_fds[i] = caller_send(mesh.http_ports[MESH_A], "POST", "/", id, 5000);
	}
	mesh_wait_executed(&mesh, MESH_A, "first-0");
	abandoned_fd = caller_send(mesh.http_ports[MESH_A], "POST", "/", "gone", 5000);
	usleep(SETTLE_US / 4);
	close(abandoned_fd);
	for (int i = 0; i < 12; i++)
		caller_receive(running_fds[i], &response);
	/* The queue is first in, first out: an abandoned call still in it would run before this one. */
	caller_call(mesh.http_ports[MESH_A], "POST", "/", "after", 5000, &response);
	ck_assert_int_eq(response.status, 200);
	ck_assert_int_eq(mesh_executions_at(&mesh, MESH_A, "gone"), 0);
	mesh_stop(&mesh);
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
	Suite *suite = suite_create("failures");

	add_test_case(suite, test_target_frozen);
	add_test_case(suite, test_receiver_killed);
	add_test_case(suite, test_origin_killed);
	add_test_case(suite, test_equal_incarnations);
	add_test_case(suite, test_replies_delayed);
	add_test_case(suite, test_requests_delayed);
	add_test_case(suite, test_link_cut);
	add_test_case(suite, test_idempotent_retried);
	add_test_case(suite, test_cut_body);
	add_test_case(suite, test_caller_gone);
	return script_run_suite(suite);
}
