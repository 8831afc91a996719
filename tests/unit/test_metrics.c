/* The metrics endpoint: exports counters and histograms as text over HTTP. */
#include <arpa/inet.h>
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "counters.h"
#include "histogram.h"
#include "metrics.h"
#include "script.h"

enum { POLL_MS = 5, MAX_POLLS = 400, RESPONSE_BYTES = 65536 };

/* Sends a request on a new connection; returns the response in a buffer that the next call overwrites. */
static const char *send_request(poller_t *poller, const char *address, const char *request)
{
	static char response[RESPONSE_BYTES];
	struct sockaddr_in to = {.sin_family = AF_INET};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	size_t length = 0;

	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	to.sin_port = htons((uint16_t)atoi(strchr(address, ':') + 1));
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	ck_assert_int_eq(send(fd, request, strlen(request), 0), (ssize_t)strlen(request));
	for (int i = 0; i < MAX_POLLS; i++) {
		ssize_t count;

		poller_run(poller, POLL_MS);
		count = recv(fd, response + length, sizeof(response) - length - 1, MSG_DONTWAIT);
		if (!count)
			break;
		if (count > 0)
			length += (size_t)count;
	}
	response[length] = '\0';
	close(fd);
	return response;
}

/*
 * Counters and histograms are exported with the values added to them, a negative
 * duration as 0; other paths return 404.
 */
START_TEST(test_exported_values)
{
	poller_t *poller = poller_new();
	metrics_t *metrics;
	const char *response;

	ck_assert_int_eq(metrics_open(poller, "127.0.0.1:0", &metrics), CW_OK);
	counter_add(COUNTER_CALL_TAKEN, 3);
	histogram_add(HISTOGRAM_QUEUE, -4);
	histogram_add(HISTOGRAM_QUEUE, 5);
	histogram_add(HISTOGRAM_QUEUE, 6);
	histogram_add(HISTOGRAM_QUEUE, 100000);
	response = send_request(poller, metrics_address(metrics),
				"GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(response, "HTTP/1.1 200 "));
	ck_assert_ptr_nonnull(strstr(response, "\ncaraway_call_taken_total 3\n"));
	ck_assert_ptr_nonnull(strstr(response, "\ncaraway_queue_ms_bucket{le=\"1\"} 1\n"));
	ck_assert_ptr_nonnull(strstr(response, "\ncaraway_queue_ms_bucket{le=\"5\"} 2\n"));
	ck_assert_ptr_nonnull(strstr(response, "\ncaraway_queue_ms_bucket{le=\"10\"} 3\n"));
	ck_assert_ptr_nonnull(strstr(response, "\ncaraway_queue_ms_bucket{le=\"5000\"} 3\n"));
	ck_assert_ptr_nonnull(strstr(response, "\ncaraway_queue_ms_bucket{le=\"+Inf\"} 4\n"));
	ck_assert_ptr_nonnull(strstr(response, "\ncaraway_queue_ms_sum 100011\ncaraway_queue_ms_count 4\n"));
	response = send_request(poller, metrics_address(metrics),
				"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
	ck_assert_ptr_nonnull(strstr(response, "HTTP/1.1 404 "));
	metrics_close(metrics);
	poller_free(poller);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("metrics");
	TCase *tcase = tcase_create("metrics");

	tcase_add_test(tcase, test_exported_values);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
