/*
 * Tests of how long a control replica is held by a large configuration.  A replica that is its own quorum runs in
 * this thread, an operator in another.  A turn is measured against the time that a JSON library needs to read
 * the whole configuration, so that the speed of the machine does not matter.
 */
#include <arpa/inet.h>
#include <check.h>
#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "../../platform/platform.h"
#include "control.h"
#include "script.h"

enum {
	ROUTES = 6000,
	SERVICES = 3,
	CHANGES = 3,	/* each of one route, after the whole configuration */
	TURN_SHARE = 4, /* a turn may take a quarter of what it takes to read the whole */
	CALIBRATIONS = 3,
	MAX_TURNS = 200000,
	HEAD_BYTES = 1024,
	TIMEOUT_S = 120
};

/* A replica, its operator's connection and what has been seen. */
typedef struct {
	char *folder;
	settings_t *settings;
	link_context_t *context;
	control_t control;
	int port;
	atomic_bool done; /* the operator has ended */
	double longest_ms;
	GString *events; /* names of the events that were logged, each followed by a space */
} fixture_t;

static fixture_t fixture;

/* Records the name of each logged event. */
static GLogWriterOutput record_event(GLogLevelFlags level, const GLogField *fields, gsize count,
				     gpointer data)
{
	(void)level;
	(void)data;
	for (gsize i = 0; i < count; i++)
		if (!strcmp(fields[i].key, "MESSAGE"))
			g_string_append_printf(fixture.events, "%s\n", (const char *)fields[i].value);
	return G_LOG_WRITER_HANDLED;
}

/* Returns the processor time of this thread in milliseconds. */
static double cpu_ms(void)
{
	struct timespec time;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
	return (double)time.tv_sec * 1e3 + (double)time.tv_nsec / 1e6;
}

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

/* Returns the body of a release; its number also changes one route. */
static char *body_new(unsigned release)
{
	GString *body = g_string_new(NULL);

	g_string_printf(body, "{\"version\":\"%08x\",\"base_version\":\"%08x\",\"resources\":[", release,
			release - 1);
	for (unsigned i = 0; i < SERVICES; i++)
		g_string_append_printf(
			body,
			"{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"s-%u\"},\"spec\":"
			"{\"health_path\":\"/health\",\"max_connections\":100,\"tls\":false}},",
			i);
	for (unsigned i = 0; i < ROUTES; i++)
		g_string_append_printf(
			body,
			"{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"r-%u\"},\"spec\":{\"host\":"
			"\"a.example\",\"path_prefix\":\"/%u/\",\"kind\":\"safe\",\"timeout_s\":1,"
			"\"target_latency_s\":0.4,\"priority\":%u,\"max_attempts\":2,\"service\":\"s-%u\"}}%s",
			i, i, i ? 1 : release, i % SERVICES, i + 1 < ROUTES ? "," : "]}");
	return g_string_free(body, FALSE);
}

/* Returns the shortest of a few times that the JSON library needs to read a body. */
static double calibrate(const char *body)
{
	double best_ms = G_MAXDOUBLE;

	for (int i = 0; i < CALIBRATIONS; i++) {
		double start_ms = cpu_ms();
		json_t *json = json_loads(body, 0, NULL);

		ck_assert_ptr_nonnull(json);
		json_decref(json);
		best_ms = MIN(best_ms, cpu_ms() - start_ms);
	}
	return best_ms;
}

/* Sends a request on a connection of its own and returns the answer. */
static char *exchange(const char *method, const char *path, const char *body)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	g_autofree char *head = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Length: %zu\r\n\r\n", method,
		path, strlen(body));
	g_autofree char *request = g_strconcat(head, body, NULL);
	GString *answer = g_string_new(NULL);
	char part[HEAD_BYTES];
	size_t sent = 0;
	ssize_t count;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_port = htons((uint16_t)fixture.port);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	while (sent < strlen(request)) {
		count = send(fd, request + sent, strlen(request) - sent, MSG_NOSIGNAL);
		ck_assert_int_gt(count, 0);
		sent += (size_t)count;
	}
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

/* Sends a release until a leader accepts it. */
static void send_release(unsigned release)
{
	g_autofree char *body = body_new(release);
	int status = 0;

	for (int i = 0; status != 200 && i < TIMEOUT_S; i++) {
		g_autofree char *answer = exchange("POST", "/Config.Replace", body);

		status = status_of(answer);
		ck_assert_msg(status == 200 || status == 503, "%s", answer);
		if (status != 200)
			g_usleep(G_USEC_PER_SEC / 10);
	}
	ck_assert_int_eq(status, 200);
}

/* Reads the configuration in force and compares it with a release. */
static void read_release(unsigned release)
{
	g_autofree char *sent = body_new(release);
	g_autofree char *answer = exchange("GET", "/Config.Read", "");
	json_t *expected = json_loads(sent, 0, NULL);
	json_t *read = json_loads(strstr(answer, "\r\n\r\n") + 4, 0, NULL);

	ck_assert_int_eq(status_of(answer), 200);
	ck_assert_str_eq(json_string_value(json_object_get(read, "version")),
			 json_string_value(json_object_get(expected, "version")));
	ck_assert_uint_eq(json_array_size(json_object_get(read, "resources")),
			  json_array_size(json_object_get(expected, "resources")));
	json_decref(expected);
	json_decref(read);
}

/* Opens the replica. */
static void set_up(void)
{
	run_signals_t signals = {0};
	g_autofree char *path = NULL;
	g_autofree char *text = NULL;
	int control_port = free_port();

	fixture = (fixture_t){.folder = g_dir_make_tmp("turns-XXXXXX", NULL), .port = free_port()};
	fixture.events = g_string_new("\n");
	g_log_set_writer_func(record_event, NULL, NULL);
	path = g_build_filename(fixture.folder, "control.ini", NULL);
	text = g_strdup_printf(
		"[process]\nrole = control\n[control-replicas]\n1 = 127.0.0.1:%d\n"
		"[control]\nid = 1\nlisten = 127.0.0.1:%d\ndata-folder = %s/data\nbootstrap = true\n"
		"operator-listen = 127.0.0.1:%d\n[keys]\ninsecure = yes\n",
		control_port, control_port, fixture.folder, fixture.port);
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	ck_assert_int_eq(settings_load(path, &fixture.settings), CW_OK);
	fixture.context = link_context_new();
	fixture.control.gateway = &platform_gateway;
	ck_assert_int_eq(control_open(&fixture.control, fixture.settings, fixture.context, &signals), CW_OK);
}

/* Closes the replica and removes its folder. */
static void tear_down(void)
{
	g_autofree char *command = g_strdup_printf("rm -r %s", fixture.folder);

	control_close(&fixture.control, fixture.context);
	settings_free(fixture.settings);
	ck_assert_int_eq(system(command), 0);
	g_string_free(fixture.events, TRUE);
	g_free(fixture.folder);
}

/* Runs the replica beside an operator until that ends, and keeps the longest turn. */
static void run_beside(void *(*operate)(void *))
{
	pthread_t thread;

	atomic_store(&fixture.done, false);
	fixture.longest_ms = 0;
	ck_assert_int_eq(pthread_create(&thread, NULL, operate, NULL), 0);
	for (int i = 0; i < MAX_TURNS && !atomic_load(&fixture.done); i++) {
		double start_ms = cpu_ms();

		control_run_iteration(&fixture.control);
		fixture.longest_ms = MAX(fixture.longest_ms, cpu_ms() - start_ms);
	}
	pthread_join(thread, NULL);
}

/* Sends the first, whole configuration. */
static void *send_first(void *unused)
{
	(void)unused;
	send_release(1);
	atomic_store(&fixture.done, true);
	return NULL;
}

/* Reads the first configuration. */
static void *read_first(void *unused)
{
	(void)unused;
	read_release(1);
	atomic_store(&fixture.done, true);
	return NULL;
}

/* Changes one route after another, and reads each configuration. */
static void *change_and_read(void *unused)
{
	(void)unused;
	for (unsigned release = 2; release < 2 + CHANGES; release++) {
		send_release(release);
		read_release(release);
	}
	atomic_store(&fixture.done, true);
	return NULL;
}

/* Fails if a turn has taken more than its share of the time to read the whole configuration. */
static void check_turns(const char *what)
{
	g_autofree char *body = body_new(1);
	double whole_ms = calibrate(body);

	ck_assert_msg(fixture.longest_ms * TURN_SHARE <= whole_ms,
		      "%s: a turn of %.1f ms, reading the whole %.1f ms", what, fixture.longest_ms, whole_ms);
}

/* CONFIG: a leader that took a large configuration was unseated, and its acknowledgement late. */
START_TEST(test_large_configuration_holds_no_turn)
{
	set_up();
	run_beside(send_first);
	check_turns("whole configuration");
	tear_down();
}
END_TEST

/* CONFIG: a leader that answered a reading of a large configuration was unseated. */
START_TEST(test_reading_holds_no_turn)
{
	set_up();
	run_beside(send_first);
	run_beside(read_first);
	check_turns("reading");
	tear_down();
}
END_TEST

/* CONFIG: each small change of a large configuration held the leader for as long as the first. */
START_TEST(test_change_of_large_configuration_holds_no_turn)
{
	set_up();
	run_beside(send_first);
	run_beside(read_first);
	run_beside(change_and_read);
	check_turns("change of one route");
	tear_down();
}
END_TEST

/* The log tells what was received and what each reading was answered with. */
START_TEST(test_log_tells_of_bodies_and_readings)
{
	set_up();
	run_beside(send_first);
	run_beside(read_first);
	ck_assert_ptr_nonnull(strstr(fixture.events->str, "\nreplacement-received\n"));
	ck_assert_ptr_nonnull(strstr(fixture.events->str, "\nreading\n"));
	tear_down();
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("release_turns");
	TCase *tcase = tcase_create("release_turns");

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, test_large_configuration_holds_no_turn);
	tcase_add_test(tcase, test_reading_holds_no_turn);
	tcase_add_test(tcase, test_change_of_large_configuration_holds_no_turn);
	tcase_add_test(tcase, test_log_tells_of_bodies_and_readings);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
