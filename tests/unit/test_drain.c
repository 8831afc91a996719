/*
 * Planned stops of separate processes under load: no call is cut off, lost or run
 * twice.  Callers send POST requests without pause, each with its own id, to
 * proxies that are up: a caller whose connection is refused tries the next proxy.
 */
#include <arpa/inet.h>
#include <check.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "mesh.h"
#include "script.h"

enum { CALLERS = 12, TIMEOUT_S = 90, ID_BYTES = 32, LOAD_PHASE_US = 300000, DEADLINE_MS = 4000 };

/* Answers that do not fit into the buffers of a connection, and a caller that takes about a second to read them. */
enum {
	LONG_REQUESTS = 8,
	LONG_BYTES = 3 << 20,
	SLOW_BUFFER_BYTES = 65536,
	SLOW_READ_BYTES = 262144,
	SLOW_PAUSE_US = 10000
};

static const char *const target_arguments[] = {"--service-ms=10", "--grace-ms=1500", NULL};

/* Callers that put load on a mesh, and their results. */
typedef struct {
	mesh_t *mesh;
	GThread *threads[CALLERS];
	atomic_bool stop;
	atomic_int next_id;
	atomic_int answered;   /* calls with a complete response of status 200 */
	atomic_int not_run;    /* calls refused without being run, which the caller may retry */
	GAsyncQueue *failures; /* descriptions of failed calls (char *); none are allowed */
	bool all_proxies; /* calls go to all proxies in turn, past those that refuse; else to the origin */
} load_t;

/* Sends a call to the first proxy that accepts the connection. */
static void send_call(const load_t *load, const char *id, unsigned first_proxy, caller_response_t *response)
{
	int proxies = load->all_proxies ? MESH_PROXIES : 1;

	for (int i = 0; i < proxies; i++) {
		int proxy =
			load->all_proxies ? (int)((first_proxy + (unsigned)i) % MESH_PROXIES) : MESH_ORIGIN;

		caller_call(load->mesh->http_ports[proxy], "POST", "/", id, DEADLINE_MS, response);
		if (!response->connect_failed)
			return;
	}
}

/* Thread of one caller: sends calls until stop is set. */
static void *run_caller(void *data)
{
	load_t *load = data;

	while (!atomic_load(&load->stop)) {
		unsigned number = (unsigned)atomic_fetch_add(&load->next_id, 1);
		g_autofree char *id = g_strdup_printf("load-%u", number);
		caller_response_t response;

		send_call(load, id, number, &response);
		if (response.status == 200 && response.complete)
			atomic_fetch_add(&load->answered, 1);
		else
			g_async_queue_push(
				load->failures,
				g_strdup_printf("%s: %s status %d %s %s", id,
						response.connect_failed ? "not connected" : "connected",
						response.status, response.outcome, response.reason));
	}
	return NULL;
}

/* Starts the callers and lets them run for one load phase. */
static void load_start(load_t *load, mesh_t *mesh, bool all_proxies)
{
	memset(load, 0, sizeof(*load));
	load->mesh = mesh;
	load->all_proxies = all_proxies;
	load->failures = g_async_queue_new_full(g_free);
	for (int i = 0; i < CALLERS; i++)
		load->threads[i] = g_thread_new("caller", run_caller, load);
	usleep(LOAD_PHASE_US);
}

/* Stops the callers after another load phase and checks that every call succeeded. */
static void load_stop(load_t *load)
{
	char *first_failure;

	usleep(LOAD_PHASE_US);
	atomic_store(&load->stop, true);
	for (int i = 0; i < CALLERS; i++)
		g_thread_join(load->threads[i]);
	first_failure = g_async_queue_try_pop(load->failures);
	ck_assert_msg(!first_failure, "%d more failures; %s", g_async_queue_length(load->failures),
		      first_failure);
	ck_assert_int_gt(atomic_load(&load->answered), CALLERS);
	g_async_queue_unref(load->failures);
}

/* Returns the execution counts of a target by request id. */
static json_t *get_executions(const load_t *load, int target)
{
	g_autofree char *text = caller_get_body(load->mesh->target_ports[target], "/executions");
	json_t *executions = json_loads(text, 0, NULL);

	ck_assert_ptr_nonnull(executions);
	return executions;
}

/* Checks that each call ran between min_runs and max_runs times, both targets together. */
static void check_executions(const load_t *load, int min_runs, int max_runs)
{
	json_t *executions_a = get_executions(load, MESH_A);
	json_t *executions_b = get_executions(load, MESH_B);
	char id[ID_BYTES];

	for (int i = 0; i < atomic_load(&load->next_id); i++) {
		int runs;

		snprintf(id, sizeof(id), "load-%d", i);
		runs = (int)json_integer_value(json_object_get(executions_a, id)) +
		       (int)json_integer_value(json_object_get(executions_b, id));
		ck_assert_msg(runs >= min_runs && runs <= max_runs, "%s ran %d times", id, runs);
	}
	json_decref(executions_a);
	json_decref(executions_b);
}

/* The receiving proxy stops and restarts. */
START_TEST(test_receiver_stops)
{
	load_t load;
	mesh_t mesh;

	mesh_start(&mesh, target_arguments);
	load_start(&load, &mesh, false);
	process_signal(&mesh.proxies[MESH_A], SIGTERM);
	ck_assert(process_wait(&mesh.proxies[MESH_A]));
	usleep(LOAD_PHASE_US);
	mesh_start_proxy(&mesh, MESH_A);
	load_stop(&load);
	check_executions(&load, 1, 1);
	mesh_stop(&mesh);
}
END_TEST

/* Opens a connection with a small receive buffer to a proxy. */
static int connect_slowly(int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int size = SLOW_BUFFER_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

/* Sends requests whose bodies the target returns in its answers. */
static void send_long_requests(int fd)
{
	g_autofree char *body = g_strnfill(LONG_BYTES, 'x');

	for (int i = 0; i < LONG_REQUESTS; i++) {
		g_autofree char *head =
			g_strdup_printf("POST /long HTTP/1.1\r\nHost: a\r\nX-Request-Id: long-%d\r\n"
					"Caraway-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
					i, DEADLINE_MS, LONG_BYTES);

		ck_assert_int_eq(send(fd, head, strlen(head), MSG_NOSIGNAL), strlen(head));
		for (size_t sent = 0; sent < LONG_BYTES;) {
			ssize_t count = send(fd, body + sent, LONG_BYTES - sent, MSG_NOSIGNAL);

			ck_assert_int_gt(count, 0);
			sent += (size_t)count;
		}
	}
}

/* Reads answers slowly to the end of the stream; returns the number of bytes. */
static size_t read_slowly(int fd)
{
	g_autofree char *buffer = g_malloc(SLOW_READ_BYTES);
	size_t length = 0;
	ssize_t count;

	while ((count = recv(fd, buffer, SLOW_READ_BYTES, 0)) > 0) {
		length += (size_t)count;
		usleep(SLOW_PAUSE_US);
	}
	return length;
}

/* LOST: a proxy that stops sends the answers that it has to callers that read slowly. */
START_TEST(test_slow_readers)
{
	mesh_t mesh;
	int fd;

	mesh_start(&mesh, target_arguments);
	fd = connect_slowly(mesh.http_ports[MESH_ORIGIN]);
	send_long_requests(fd);
	usleep(LOAD_PHASE_US);
	process_signal(&mesh.proxies[MESH_ORIGIN], SIGTERM);
	ck_assert_uint_gt(read_slowly(fd), (size_t)LONG_REQUESTS * LONG_BYTES);
	ck_assert(process_wait(&mesh.proxies[MESH_ORIGIN]));
	close(fd);
	mesh_stop(&mesh);
}
END_TEST

/* Every proxy stops and restarts, one after another. */
START_TEST(test_every_proxy_stops)
{
	load_t load;
	mesh_t mesh;

	mesh_start(&mesh, target_arguments);
	load_start(&load, &mesh, true);
	for (int i = 0; i < MESH_PROXIES; i++) {
		process_signal(&mesh.proxies[i], SIGTERM);
		ck_assert(process_wait(&mesh.proxies[i]));
		mesh_start_proxy(&mesh, i);
		usleep(LOAD_PHASE_US);
	}
	load_stop(&load);
	check_executions(&load, 1, 1);
	mesh_stop(&mesh);
}
END_TEST

/*
 * Each target stops and restarts, one after another.  A target loses its counts
 * when it stops, so a call may show no execution; that every call succeeded and
 * that none shows two is still checked.
 */
START_TEST(test_every_target_stops)
{
	load_t load;
	mesh_t mesh;

	mesh_start(&mesh, target_arguments);
	load_start(&load, &mesh, false);
	for (int i = MESH_A; i <= MESH_B; i++) {
		process_signal(&mesh.targets[i], SIGTERM);
		ck_assert(process_wait(&mesh.targets[i]));
		mesh_start_target(&mesh, i, target_arguments);
		mesh_wait_target_used(&mesh, i);
	}
	load_stop(&load);
	check_executions(&load, 0, 1);
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
	Suite *suite = suite_create("drain");

	add_test_case(suite, test_receiver_stops);
	add_test_case(suite, test_slow_readers);
	add_test_case(suite, test_every_proxy_stops);
	add_test_case(suite, test_every_target_stops);
	return script_run_suite(suite);
}
