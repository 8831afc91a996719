/*
 * Tests of the operators' calls for roll-outs.  A replica that is its own quorum runs in this thread, an operator in
 * another; times only bound how long a state is waited for.
 */
#include <arpa/inet.h>
#include <check.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../../platform/platform.h"
#include "control.h"
#include "script.h"

enum { PART_BYTES = 1024, TIMEOUT_S = 60, POLLS = 400, POLL_US = 50000 };

static const char first_release[] =
	"{\"version\":\"00000001\",\"base_version\":\"00000000\",\"resources\":["
	"{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"tabla\"},\"spec\":"
	"{\"health_path\":\"/health\",\"max_connections\":100,\"tls\":false}},"
	"{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"r-1\"},\"spec\":{\"host\":\"a.example\","
	"\"path_prefix\":\"/a/\",\"kind\":\"safe\",\"timeout_s\":1,\"target_latency_s\":0.4,"
	"\"priority\":1,\"max_attempts\":2,\"service\":\"tabla\"}}]}";

/* A replica and its operator's port. */
typedef struct {
	char *folder;
	char *settings_path;
	settings_t *settings;
	link_context_t *context;
	control_t control;
	int port;
	atomic_bool done; /* the operator has ended */
} fixture_t;

static fixture_t fixture;

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

/* Opens the replica on the folder of the fixture. */
static void open_replica(void)
{
	run_signals_t signals = {0};

	memset(&fixture.control, 0, sizeof(fixture.control));
	ck_assert_int_eq(settings_load(fixture.settings_path, &fixture.settings), CW_OK);
	fixture.context = link_context_new();
	fixture.control.gateway = &platform_gateway;
	ck_assert_int_eq(control_open(&fixture.control, fixture.settings, fixture.context, &signals), CW_OK);
}

/* Closes the replica; its folder stays. */
static void close_replica(void)
{
	control_close(&fixture.control, fixture.context);
	settings_free(fixture.settings);
}

/* Creates the folder and opens the replica. */
static void set_up(void)
{
	g_autofree char *text = NULL;
	int control_port = free_port();

	fixture = (fixture_t){.folder = g_dir_make_tmp("rollouts-XXXXXX", NULL), .port = free_port()};
	fixture.settings_path = g_build_filename(fixture.folder, "control.ini", NULL);
	text = g_strdup_printf(
		"[process]\nrole = control\n[control-replicas]\n1 = 127.0.0.1:%d\n"
		"[control]\nid = 1\nlisten = 127.0.0.1:%d\ndata-folder = %s/data\nbootstrap = true\n"
		"operator-listen = 127.0.0.1:%d\n[keys]\ninsecure = yes\n",
		control_port, control_port, fixture.folder, fixture.port);
	ck_assert(g_file_set_contents(fixture.settings_path, text, -1, NULL));
	open_replica();
}

/* Closes the replica and removes its folder. */
static void tear_down(void)
{
	g_autofree char *command = g_strdup_printf("rm -r %s", fixture.folder);

	close_replica();
	ck_assert_int_eq(system(command), 0);
	g_free(fixture.settings_path);
	g_free(fixture.folder);
}

/* Runs the replica beside an operator until that ends. */
static void run_beside(void *(*operate)(void *))
{
	pthread_t thread;

	atomic_store(&fixture.done, false);
	ck_assert_int_eq(pthread_create(&thread, NULL, operate, NULL), 0);
	while (!atomic_load(&fixture.done))
		control_run_iteration(&fixture.control);
	pthread_join(thread, NULL);
}

/* Sends a request on a connection of its own and returns the answer. */
static char *exchange(const char *method, const char *path, const char *body)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	g_autofree char *request = g_strdup_printf("%s %s HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
						   "Content-Length: %zu\r\n\r\n%s",
						   method, path, strlen(body), body);
	GString *answer = g_string_new(NULL);
	char part[PART_BYTES];
	ssize_t count;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_port = htons((uint16_t)fixture.port);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(send(fd, request, strlen(request), MSG_NOSIGNAL), (ssize_t)strlen(request));
	while ((count = recv(fd, part, sizeof(part), 0)) > 0)
		g_string_append_len(answer, part, count);
	close(fd);
	return g_string_free(answer, FALSE);
}

/* Returns the status of an answer. */
static int status_of(const char *answer)
{
	const char *space = strchr(answer, ' ');

	return space ? atoi(space + 1) : 0;
}

/* Sends a request until a leader answers it; checks the status and a part of the body. */
static void expect(const char *method, const char *path, const char *body, int status, const char *part)
{
	for (int i = 0; i < POLLS; i++) {
		g_autofree char *answer = exchange(method, path, body);

		if (status_of(answer) == 503) {
			g_usleep(POLL_US);
			continue;
		}
		ck_assert_msg(status_of(answer) == status && strstr(answer, part), "%s %s: %s", path, body,
			      answer);
		return;
	}
	ck_abort_msg("no leader");
}

/* Orders a roll-out and checks the answer. */
static void expect_begin(const char *body, int status, const char *part)
{
	expect("POST", "/Rollouts.Begin", body, status, part);
}

/* An order that cannot be carried out is acknowledged, or its refusal does not name the field. */
static void *refused_orders(void *unused)
{
	(void)unused;
	expect("POST", "/Config.Replace", first_release, 200, "");
	expect("GET", "/Rollouts.Read/tabla", "", 404, "service");
	expect_begin("[]", 400, "JSON object");
	expect_begin("{\"target_version\":\"v2\",\"duration_s\":9}", 400, "service");
	expect_begin("{\"service\":\"tabla\",\"duration_s\":9}", 400, "target_version");
	expect_begin("{\"service\":\"tabla\",\"target_version\":\"v2\"}", 400, "duration_s");
	expect_begin("{\"service\":\"tabla\",\"target_version\":\"v2\",\"duration_s\":0}", 400, "duration_s");
	expect_begin("{\"service\":\"tabla\",\"target_version\":\"v2\",\"duration_s\":1e300}", 400,
		     "duration_s");
	expect_begin("{\"service\":\"tabla\",\"target_version\":\"\",\"duration_s\":9}", 400,
		     "target_version");
	expect_begin("{\"service\":\"other\",\"target_version\":\"v2\",\"duration_s\":9}", 422, "service");
	expect("GET", "/Rollouts.Read/tabla", "", 404, "service");
	atomic_store(&fixture.done, true);
	return NULL;
}

/* Orders a roll-out, again, and another one. */
static void *orders(void *unused)
{
	(void)unused;
	expect("POST", "/Config.Replace", first_release, 200, "");
	expect_begin("{\"service\":\"tabla\",\"target_version\":\"v2\",\"duration_s\":600}", 200, "running");
	expect_begin("{\"service\":\"tabla\",\"target_version\":\"v2\",\"duration_s\":600}", 200, "running");
	expect_begin("{\"service\":\"tabla\",\"target_version\":\"v3\",\"duration_s\":600}", 409, "service");
	expect("GET", "/Rollouts.Read/tabla", "", 200, "{\"state\":\"running\",\"target_version\":\"v2\"}");
	atomic_store(&fixture.done, true);
	return NULL;
}

/* Reads the roll-out that orders() ordered. */
static void *read_order(void *unused)
{
	(void)unused;
	expect("GET", "/Rollouts.Read/tabla?x=y", "", 200,
	       "{\"state\":\"running\",\"target_version\":\"v2\"}");
	expect_begin("{\"service\":\"tabla\",\"target_version\":\"v2\",\"duration_s\":600}", 200, "running");
	atomic_store(&fixture.done, true);
	return NULL;
}

/* Orders a short roll-out whose targets never start, and waits for its end. */
static void *order_without_targets(void *unused)
{
	bool ended = false;

	(void)unused;
	expect("POST", "/Config.Replace", first_release, 200, "");
	expect_begin("{\"service\":\"tabla\",\"target_version\":\"v2\",\"duration_s\":2}", 200, "running");
	for (int i = 0; i < POLLS && !ended; i++) {
		g_autofree char *answer = exchange("GET", "/Rollouts.Read/tabla", "");

		ended = strstr(answer, "{\"state\":\"rolled_back\",\"target_version\":\"v2\"}") != NULL;
		g_usleep(POLL_US);
	}
	ck_assert(ended);
	expect_begin("{\"service\":\"tabla\",\"target_version\":\"v3\",\"duration_s\":9}", 200, "running");
	atomic_store(&fixture.done, true);
	return NULL;
}

/* ROLLOUT: an order that cannot be carried out is acknowledged. */
START_TEST(test_invalid_orders_are_refused)
{
	set_up();
	run_beside(refused_orders);
	tear_down();
}
END_TEST

/* ROLLOUT: a repeated order is refused, a second one accepted, or an acknowledged one lost in a restart. */
START_TEST(test_orders_are_kept)
{
	set_up();
	run_beside(orders);
	close_replica();
	open_replica();
	run_beside(read_order);
	tear_down();
}
END_TEST

/* ROLLOUT: one whose targets never answer stays without a verdict. */
START_TEST(test_order_without_targets_is_rolled_back)
{
	set_up();
	run_beside(order_without_targets);
	tear_down();
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("rollout_orders");
	TCase *tcase = tcase_create("rollout_orders");

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, test_invalid_orders_are_refused);
	tcase_add_test(tcase, test_orders_are_kept);
	tcase_add_test(tcase, test_order_without_targets_is_rolled_back);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
