/*
 * Roll-outs with separate processes: a control replica, a proxy with a target of the old version and one with a target of
 * the new version.  Checked are counts and states, not times: the exposure stays within its bound, a version that
 * answers errors is rolled back and gets nothing afterwards, and a good one gets all calls in the end.
 */
#include <arpa/inet.h>
#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "caller.h"
#include "process.h"
#include "script.h"

enum {
	TIMEOUT_S = 180,
	POLL_US = 50000,
	MAX_POLLS = 600,
	CALL_MS = 2000,
	MAX_CALLS = 100000,
	CALLS_PER_READ = 50,
	BOUND_PERCENT = 10,
	BOUND_SLACK = 50,
	PERCENT = 100,
	OPERATOR_TRIES = 200,
	SETTLE_US = 3000000
};

typedef enum { OLD, NEW, VERSIONS } version_t;

static const char *const versions[VERSIONS] = {"v1", "v2"};

static const char release[] =
	"{\"version\":\"00000001\",\"base_version\":\"00000000\",\"resources\":["
	"{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"tabla\"},\"spec\":"
	"{\"health_path\":\"/health\",\"max_connections\":100,\"tls\":false}},"
	"{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"r-1\"},\"spec\":{\"host\":\"t\","
	"\"path_prefix\":\"/\",\"kind\":\"safe\",\"timeout_s\":2,\"target_latency_s\":0.4,"
	"\"priority\":1,\"max_attempts\":2,\"service\":\"tabla\"}}]}";

/* The processes and their ports. */
typedef struct {
	char *folder;
	process_t control;
	process_t proxies[VERSIONS];
	process_t targets[VERSIONS];
	int control_port, operator_port;
	int http_ports[VERSIONS], target_ports[VERSIONS], heartbeat_ports[VERSIONS];
	unsigned beats;
	int last_id;
	int errors; /* answers 500 that the caller got */
} mesh_t;

/* Returns a free port of the loopback address. */
static int free_port(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&address, &length), 0);
	close(fd);
	return ntohs(address.sin_port);
}

/* Starts a daemon with settings; its log of warnings stays far below what a pipe holds. */
static void start_daemon(const mesh_t *mesh, process_t *process, const char *name, const char *sections)
{
	g_autofree char *path = g_strdup_printf("%s/%s.ini", mesh->folder, name);
	g_autofree char *text = g_strdup_printf(
		"[process]\nlog-level=warning\n%s[control-replicas]\n1=127.0.0.1:%d\n[keys]\ninsecure=yes\n",
		sections, mesh->control_port);
	const char *arguments[] = {"--config", path, NULL};

	ck_assert(g_file_set_contents(path, text, -1, NULL));
	process_start(process, "../../carawayd", arguments);
}

/* Starts the control replica. */
static void start_control(mesh_t *mesh)
{
	g_autofree char *sections = NULL;

	mesh->control_port = free_port();
	mesh->operator_port = free_port();
	sections = g_strdup_printf("role=control\n[control]\nid=1\nlisten=127.0.0.1:%d\ndata-folder=%s/data\n"
				   "bootstrap=true\noperator-listen=127.0.0.1:%d\n",
				   mesh->control_port, mesh->folder, mesh->operator_port);
	start_daemon(mesh, &mesh->control, "control", sections);
}

/* Starts the target of a version and the proxy beside it. */
static void start_proxy(mesh_t *mesh, version_t version, const char *fail_percent)
{
	const char *target_arguments[] = {"--port=0", "--service-ms=1", fail_percent, NULL};
	g_autofree char *first_line = NULL;
	g_autofree char *sections = NULL;

	process_start(&mesh->targets[version], "standin_target", target_arguments);
	first_line = process_read_line(&mesh->targets[version]);
	mesh->target_ports[version] = atoi(first_line);
	mesh->http_ports[version] = free_port();
	mesh->heartbeat_ports[version] = free_port();
	sections = g_strdup_printf("role=proxy\n[proxy]\nvm=%s\nzone=z\nregion=r\nservice=tabla\n"
				   "listen=127.0.0.1:%d\ncall-listen=127.0.0.1:%d\n"
				   "feed-listen=127.0.0.1:%d\ntarget=127.0.0.1:%d\n"
				   "target-listen=127.0.0.1:%d\nreport-ms=1000\n",
				   versions[version], mesh->http_ports[version], free_port(), free_port(),
				   mesh->target_ports[version], mesh->heartbeat_ports[version]);
	start_daemon(mesh, &mesh->proxies[version], versions[version], sections);
}

/* Sends a heartbeat of a target; returns whether the proxy took it. */
static bool beat(mesh_t *mesh, version_t version)
{
	g_autofree char *body = g_strdup_printf(
		"{\"born\":1000,\"address\":\"127.0.0.1:%d\",\"info\":{\"service\":\"tabla\",\"slots\":12,"
		"\"version\":\"%s\"},\"status\":{\"state\":\"ready\",\"sequence\":%u,\"warmup_left_s\":0}}",
		mesh->target_ports[version], versions[version], ++mesh->beats);
	caller_response_t response = {0};

	caller_call(mesh->heartbeat_ports[version], "POST", "/Instances.Heartbeat/i-1", body, CALL_MS,
		    &response);
	return response.status == 200;
}

/* Sends an operator's request until the replica leads; returns the body of the answer. */
static void operate(const mesh_t *mesh, const char *method, const char *path, const char *body,
		    caller_response_t *response)
{
	for (int i = 0; i < OPERATOR_TRIES; i++) {
		*response = (caller_response_t){0};
		caller_call(mesh->operator_port, method, path, body, CALL_MS, response);
		if (response->status && response->status != 503)
			return;
		usleep(POLL_US);
	}
	ck_abort_msg("no answer to %s", path);
}

/* Returns whether the roll-out has a state. */
static bool has_state(const mesh_t *mesh, const char *state)
{
	caller_response_t response;

	operate(mesh, "GET", "/Rollouts.Read/tabla", "", &response);
	return strstr(response.body, state) != NULL;
}

/* Makes a call at the proxy of a version; returns its status. */
static int call_at(mesh_t *mesh, version_t version)
{
	char id[32];
	caller_response_t response = {0};

	snprintf(id, sizeof(id), "c-%d", ++mesh->last_id);
	caller_call(mesh->http_ports[version], "GET", "/x", id, CALL_MS, &response);
	mesh->errors += response.status == 500;
	return response.status;
}

/* Makes a call at the proxy of the old version; returns its status. */
static int call(mesh_t *mesh)
{
	return call_at(mesh, OLD);
}

/* Returns how many calls a target has run. */
static int executions(const mesh_t *mesh, version_t version)
{
	g_autofree char *text = caller_get_body(mesh->target_ports[version], "/executions");
	int count = 0;

	for (const char *place = text; (place = strstr(place, "\"c-")); place++)
		count++;
	return count;
}

/* Starts all processes and waits until calls succeed. */
static void set_up(mesh_t *mesh, const char *new_fail_percent)
{
	caller_response_t response;
	int polls = 0;

	*mesh = (mesh_t){.folder = g_dir_make_tmp("rollout-mesh-XXXXXX", NULL)};
	start_control(mesh);
	operate(mesh, "POST", "/Config.Replace", release, &response);
	ck_assert_int_eq(response.status, 200);
	start_proxy(mesh, OLD, "--fail-percent=0");
	for (polls = 0; (!beat(mesh, OLD) || call(mesh) != 200) && polls < MAX_POLLS; polls++)
		usleep(POLL_US);
	ck_assert_int_lt(polls, MAX_POLLS);
	start_proxy(mesh, NEW, new_fail_percent);
	/* Without a roll-out its proxy gives the new target calls as any other, once its health is confirmed. */
	for (polls = 0; !executions(mesh, NEW) && polls < MAX_POLLS; polls++) {
		beat(mesh, NEW);
		call_at(mesh, NEW);
		usleep(POLL_US);
	}
	ck_assert_int_lt(polls, MAX_POLLS);
	mesh->errors = 0;
}

/* Ends all processes. */
static void tear_down(mesh_t *mesh)
{
	g_autofree char *command = g_strdup_printf("rm -r %s", mesh->folder);

	for (int i = 0; i < VERSIONS; i++) {
		process_kill(&mesh->proxies[i]);
		process_kill(&mesh->targets[i]);
	}
	process_kill(&mesh->control);
	ck_assert_int_eq(system(command), 0);
	g_free(mesh->folder);
}

/* Orders the roll-out. */
static void order(const mesh_t *mesh)
{
	caller_response_t response;

	operate(mesh, "POST", "/Rollouts.Begin",
		"{\"service\":\"tabla\",\"target_version\":\"v2\",\"duration_s\":12}", &response);
	ck_assert_int_eq(response.status, 200);
}

/* Makes calls, with heartbeats of both targets, until the roll-out leaves "running"; returns the number of calls. */
static int call_until_verdict(mesh_t *mesh)
{
	int calls = 0;

	while (calls < MAX_CALLS && (calls % CALLS_PER_READ || has_state(mesh, "running"))) {
		if (calls % CALLS_PER_READ == 0) {
			beat(mesh, OLD);
			beat(mesh, NEW);
		}
		call(mesh);
		calls++;
	}
	return calls;
}

/* ROLLOUT: a version with errors gets more than its share, is not rolled back, or gets calls afterwards. */
START_TEST(test_bad_version_is_rolled_back)
{
	int calls, run_before, run;
	mesh_t mesh;

	set_up(&mesh, "--fail-percent=50");
	run_before = executions(&mesh, NEW);
	order(&mesh);
	calls = call_until_verdict(&mesh);
	ck_assert(has_state(&mesh, "rolled_back"));
	/* The new target has run and answered calls, so it was not rolled back for want of answers. */
	run = executions(&mesh, NEW) - run_before;
	ck_assert_int_gt(run, 0);
	ck_assert_int_le(2 * run, calls * BOUND_PERCENT / PERCENT + BOUND_SLACK);
	/* The verdict takes up to a stamp to reach the proxy. */
	usleep(SETTLE_US);
	run = executions(&mesh, NEW);
	for (int i = 0; i < 4 * CALLS_PER_READ; i++)
		ck_assert_int_eq(call(&mesh), 200);
	ck_assert_int_eq(executions(&mesh, NEW), run);
	tear_down(&mesh);
}
END_TEST

/* ROLLOUT: a good version does not get its share, or not all calls in the end. */
START_TEST(test_good_version_succeeds)
{
	int old_before, new_before;
	mesh_t mesh;

	set_up(&mesh, "--fail-percent=0");
	order(&mesh);
	call_until_verdict(&mesh);
	ck_assert(has_state(&mesh, "succeeded"));
	old_before = executions(&mesh, OLD);
	new_before = executions(&mesh, NEW);
	for (int i = 0; i < CALLS_PER_READ; i++)
		ck_assert_int_eq(call(&mesh), 200);
	ck_assert_int_eq(executions(&mesh, OLD), old_before);
	ck_assert_int_eq(executions(&mesh, NEW), new_before + CALLS_PER_READ);
	ck_assert_int_eq(mesh.errors, 0);
	tear_down(&mesh);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("rollout_mesh");
	TCase *tcase = tcase_create("rollout_mesh");

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, test_bad_version_is_rolled_back);
	tcase_add_test(tcase, test_good_version_succeeds);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
