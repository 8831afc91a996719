/*
 * Callers that ask for long answers and read nothing.  They guard against a proxy whose memory grows with the
 * answers that wait for such callers until the process runs out of memory and ends.
 *
 * The tests check only what does not depend on speed: each proxy is alive, its peak memory stays within memory-mb
 * and its open descriptors within the configured connections, and an ordinary request is answered while the
 * callers are still connected.
 */
#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "caller.h"
#include "cluster.h"
#include "script.h"

enum {
	MEMORY_MB = 32, /* the least that is allowed, as set in settings */
	KB_PER_MB = 1024,
	CONNECTIONS = 100, /* as set in settings */
	/* Those of callers and to the target, and 100 for ports, logs, links and replicas. */
	MAX_DESCRIPTORS = 2 * CONNECTIONS + 100,
	CALLERS = 80,
	SEGMENT_BYTES = 1400, /* as on a network: with those of loopback the kernel buffers megabytes */
	GROUP = 10,	      /* callers that send at once; fewer than the slots of the target */
	MAX_ATTEMPTS = 4,
	STATUS_BYTES = 12, /* of "HTTP/1.1 200" */
	RECEIVE_BUFFER_BYTES =
		4096, /* of a caller, so that answers wait in the proxy and not in the kernel */
	PIPELINED_REQUESTS = 48,
	DEADLINE_MS = 10000,
	READ_NOTHING_S = 5,
	POLL_INTERVAL_US = 50000,
	MAX_POLLS = 400,
	TIMEOUT_S = 120
};

static const char settings[] = "memory-mb=32\nconnections=100\nqueue=100\n";

/* The least account of waiting bytes: less than one long answer. */
static const char least_settings[] =
	"memory-mb=32\nconnections=100\nqueue=100\nwaiting-memory-percent=5\nslow-reader-ms=100\n";

static const char *const proxies[] = {"m1", "e1"};

/* Runs carawayctl until it succeeds. */
static void run_ctl(cluster_t *cluster, const char *const *arguments)
{
	for (int i = 0; i < MAX_POLLS; i++) {
		g_autoptr(GString) out = g_string_new(NULL);

		if (!cluster_run_carawayctl(cluster, arguments, out))
			return;
		g_usleep(POLL_INTERVAL_US);
	}
	ck_abort_msg("carawayctl %s failed", arguments[2]);
}

/* Waits until an ordinary request through a proxy is answered. */
static void await_answer(cluster_t *cluster, const char *proxy, const char *path)
{
	g_autofree char *result = NULL;

	for (int i = 0; i < MAX_POLLS; i++) {
		g_free(result);
		result = cluster_http_get(cluster, proxy, path);
		if (!strcmp(result, "200"))
			return;
		g_usleep(POLL_INTERVAL_US);
	}
	ck_abort_msg("GET %s at %s: %s", path, proxy, result);
}

/* Starts a cluster with a proxy for each of two services. */
static cluster_t *start_cluster(const char *proxy_settings)
{
	static const char *const book[] = {"--operator", "anna", "book",  "tests/control/first.ini",
					   "--number",	 "1",	 "--due", "now",
					   NULL};
	static const char *const review[] = {"--operator", "bela", "review", "1", NULL};
	cluster_t *cluster = cluster_new();

	cluster_set_proxy_settings(cluster, proxy_settings);
	for (int id = 1; id <= CLUSTER_REPLICAS; id++) {
		cluster_format_replica(cluster, id);
		cluster_start_replica(cluster, id);
	}
	cluster_add_proxy(cluster, "m1", "miskolc", "tabla");
	cluster_add_proxy(cluster, "e1", "eger", "sorompo");
	cluster_start_proxy(cluster, "m1");
	cluster_start_proxy(cluster, "e1");
	run_ctl(cluster, book);
	run_ctl(cluster, review);
	await_answer(cluster, "e1", "/tabla");
	await_answer(cluster, "e1", "/sorompo");
	return cluster;
}

/* Checks that a proxy is alive and within its bounds. */
static void check_proxy(cluster_t *cluster, const char *proxy)
{
	long peak_kb;
	int status = 0;

	ck_assert_msg(!cluster_reap(cluster, proxy, &status), "%s ended with status %d", proxy, status);
	peak_kb = cluster_peak_memory_kb(cluster, proxy);
	printf("%s: peak %ld kB, %d descriptors\n", proxy, peak_kb, cluster_open_descriptors(cluster, proxy));
	fflush(stdout);
#ifndef __SANITIZE_ADDRESS__ /* it keeps freed memory, so that the figure says nothing there */
	ck_assert_int_le(peak_kb, MEMORY_MB * KB_PER_MB);
#endif
	ck_assert_int_le(cluster_open_descriptors(cluster, proxy), MAX_DESCRIPTORS);
}

/* Checks both proxies, and that each answers ordinary requests, also to the target beside the other one. */
static void check_cluster(cluster_t *cluster)
{
	await_answer(cluster, "m1", "/tabla");
	await_answer(cluster, "e1", "/tabla");
	await_answer(cluster, "e1", "/sorompo");
	for (size_t i = 0; i < G_N_ELEMENTS(proxies); i++)
		check_proxy(cluster, proxies[i]);
}

/* Connects to a proxy as a caller with a short receive buffer and sends it requests. */
static int send_requests(cluster_t *cluster, const char *proxy, const GString *requests)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int buffer_bytes = RECEIVE_BUFFER_BYTES;
	int segment_bytes = SEGMENT_BYTES;

	address.sin_port = htons((uint16_t)cluster_http_port(cluster, proxy));
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof(segment_bytes));
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(send(fd, requests->str, requests->len, MSG_NOSIGNAL), (ssize_t)requests->len);
	return fd;
}

/* Appends a request for a long answer. */
static void append_request(GString *requests, const char *path, int number)
{
	g_string_append_printf(requests,
			       "GET %s HTTP/1.1\r\nHost: t\r\nX-Request-Id: slow-%d\r\n"
			       "Caraway-Deadline-Ms: %d\r\n\r\n",
			       path, number, DEADLINE_MS);
}

/* Waits for the status of an answer without reading it; 0 when the connection was closed instead. */
static int await_status(int fd)
{
	char line[STATUS_BYTES + 1] = "";
	ssize_t length = recv(fd, line, STATUS_BYTES, MSG_PEEK | MSG_WAITALL);

	return length == STATUS_BYTES ? atoi(line + strlen("HTTP/1.1 ")) : 0;
}

/* Sends the requests of some callers at once; those that are refused as not run are sent again later. */
static void start_group(cluster_t *cluster, const char *proxy, const char *path, int *fds)
{
	for (int i = 0; i < GROUP; i++)
		fds[i] = -1;
	for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
		for (int i = 0; i < GROUP; i++) {
			g_autoptr(GString) request = g_string_new(NULL);

			if (fds[i] >= 0)
				continue;
			append_request(request, path, i);
			fds[i] = send_requests(cluster, proxy, request);
		}
		for (int i = 0; i < GROUP; i++) {
			if (await_status(fds[i]) != 503)
				continue;
			close(fds[i]);
			fds[i] = -1;
		}
		g_usleep(POLL_INTERVAL_US);
	}
}

/* Has callers ask a proxy for long answers, read nothing, and checks the proxies. */
static void run_crowd(const char *proxy, const char *path)
{
	cluster_t *cluster = start_cluster(settings);
	int fds[CALLERS];

	for (int i = 0; i < CALLERS; i += GROUP)
		start_group(cluster, proxy, path, &fds[i]);
	check_cluster(cluster);
	for (int i = 0; i < CALLERS; i++)
		if (fds[i] >= 0)
			close(fds[i]);
	cluster_free(cluster);
}

/* The answers cross two proxies: both the target's proxy and that of the callers may hold them. */
START_TEST(test_target_beside_another_proxy)
{
	run_crowd("e1", "/tabla/bytes/2000000");
}
END_TEST

/* The answers cross one proxy, which does not pack them. */
START_TEST(test_target_beside_own_proxy)
{
	run_crowd("e1", "/sorompo/bytes/2000000");
}
END_TEST

/* One connection asks for many answers at once: a bound on connections does not bound them. */
START_TEST(test_pipelined_requests)
{
	cluster_t *cluster = start_cluster(settings);
	g_autoptr(GString) requests = g_string_new(NULL);
	int fd;

	for (int i = 0; i < PIPELINED_REQUESTS; i++)
		append_request(requests, "/tabla/bytes/2000000", i);
	fd = send_requests(cluster, "e1", requests);
	sleep(READ_NOTHING_S);
	check_cluster(cluster);
	close(fd);
	cluster_free(cluster);
}
END_TEST

/* Reads a long answer of each target, of 4,000,000 bytes where memory-mb allows 4 MiB. */
static void run_single(const char *proxy_settings)
{
	cluster_t *cluster = start_cluster(proxy_settings);

	for (size_t i = 0; i < 2; i++) {
		g_autofree char *body =
			caller_get_body(cluster_http_port(cluster, "e1"),
					i ? "/sorompo/bytes/4000000" : "/tabla/bytes/4000000");

		ck_assert_uint_eq(strlen(body), 4000000);
	}
	check_cluster(cluster);
	cluster_free(cluster);
}

/* A single long answer is served when nothing else is going on. */
START_TEST(test_single_long_answer)
{
	run_single(settings);
}
END_TEST

/* The same where the account holds less than the answer: it is neither cut nor left waiting for room. */
START_TEST(test_answer_longer_than_account)
{
	run_single(least_settings);
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
	Suite *suite = suite_create("slow_readers");

	add_test_case(suite, test_target_beside_another_proxy);
	add_test_case(suite, test_target_beside_own_proxy);
	add_test_case(suite, test_pipelined_requests);
	add_test_case(suite, test_single_long_answer);
	add_test_case(suite, test_answer_longer_than_account);
	return script_run_suite(suite);
}
