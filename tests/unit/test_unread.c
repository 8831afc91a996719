/*
 * Which callers' connections the HTTP server closes when answers wait unread.  Guards against closing callers that
 * read, closing more of them than is needed, and passing a cut answer for a whole one.
 */
#include <check.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "http_server.h"
#include "script.h"
#include "socket_address.h"

enum {
	CALLERS = 3,	/* and the limit of connections */
	MAX_EXCESS = 3, /* connections that are not idle, in multiples of the limit */
	MANY = 40,
	ANSWER_BYTES = 400000,
	MAX_UNREAD_BYTES = 600000, /* of one answer, but not of two */
	ACCOUNT_BYTES = 2000000,
	SLOW_READER_MS = 200,
	SETTLE_MS = 50,
	RECEIVE_BUFFER_BYTES = 4096,
	SEGMENT_BYTES = 1400, /* as on a network: with those of loopback the kernel buffers whole answers */
	READ_BYTES = 65536,
	TIMEOUT_S = 30
};

/* A server with some callers. */
typedef struct {
	poller_t *poller;
	http_server_t *server;
	GPtrArray *exchanges; /* one of each caller, in their order */
	int callers[CALLERS];
	size_t received[CALLERS];
} fixture_t;

/* Keeps the exchange of a request. */
static void keep_request(void *data, http_exchange_t *exchange)
{
	fixture_t *fixture = data;

	g_ptr_array_add(fixture->exchanges, exchange);
}

/* Ignores that a caller has gone. */
static void ignore(void *data, http_exchange_t *exchange)
{
	(void)data;
	(void)exchange;
}

/* Runs the server for some time. */
static void run_for(const fixture_t *fixture, int64_t time_ms)
{
	int64_t end_ms = clock_now_ms() + time_ms;

	do {
		poller_run(fixture->poller, 1);
		http_server_close_slow_readers(fixture->server, clock_now_ms());
	} while (clock_now_ms() < end_ms);
}

/* Connects a caller and sends its request. */
static void connect_caller(fixture_t *fixture, int caller)
{
	static const char request[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
	struct sockaddr_storage address;
	socklen_t length;
	int buffer_bytes = RECEIVE_BUFFER_BYTES, segment_bytes = SEGMENT_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(socket_address_parse(http_server_address(fixture->server), &address, &length),
			 CW_OK);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof(segment_bytes));
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&address, length), 0);
	ck_assert_int_gt(send(fd, request, strlen(request), MSG_NOSIGNAL), 0);
	fixture->callers[caller] = fd;
	while ((int)fixture->exchanges->len <= caller)
		run_for(fixture, 1);
}

/* Starts the server and its callers. */
static void set_up(fixture_t *fixture)
{
	const http_server_limits_t limits = {.max_header_bytes = 4096,
					     .max_body_bytes = 4096,
					     .header_timeout_ms = 10000,
					     .idle_timeout_ms = 10000,
					     .max_connections = CALLERS,
					     .max_unread_bytes = MAX_UNREAD_BYTES,
					     .slow_reader_ms = SLOW_READER_MS};
	const http_handlers_t handlers = {.request = keep_request, .disconnected = ignore, .data = fixture};

	*fixture = (fixture_t){.poller = poller_new(), .exchanges = g_ptr_array_new()};
	ck_assert_int_eq(
		http_server_new(fixture->poller, "127.0.0.1:0", &limits, &handlers, &fixture->server), CW_OK);
	for (int i = 0; i < CALLERS; i++)
		connect_caller(fixture, i);
}

/* Closes the callers and frees the server. */
static void tear_down(fixture_t *fixture)
{
	for (int i = 0; i < CALLERS; i++)
		close(fixture->callers[i]);
	http_server_free(fixture->server);
	poller_free(fixture->poller);
	g_ptr_array_unref(fixture->exchanges);
}

/* Answers the request of a caller. */
static void respond(const fixture_t *fixture, int caller)
{
	g_autofree char *body = g_strnfill(ANSWER_BYTES, 'x');
	const http_response_t response = {.status = 200, .body = body, .body_length = ANSWER_BYTES};

	http_exchange_respond(g_ptr_array_index(fixture->exchanges, caller), &response);
}

/* Reads all that a caller can get while the server runs. */
static void read_answer(fixture_t *fixture, int caller)
{
	static char buffer[READ_BYTES];
	int64_t last_ms = clock_now_ms();
	ssize_t length;

	while (clock_now_ms() < last_ms + SETTLE_MS && fixture->received[caller] < ANSWER_BYTES) {
		length = recv(fixture->callers[caller], buffer, sizeof(buffer), MSG_DONTWAIT);
		if (length > 0) {
			fixture->received[caller] += (size_t)length;
			last_ms = clock_now_ms();
		}
		run_for(fixture, 0);
	}
}

/* Too many bytes are unread: one caller that reads nothing is closed, and no other. */
START_TEST(test_too_many_unread)
{
	fixture_t fixture;

	set_up(&fixture);
	respond(&fixture, 0);
	run_for(&fixture, SETTLE_MS);
	ck_assert_uint_eq(http_server_connections(fixture.server), CALLERS);
	respond(&fixture, 1);
	run_for(&fixture, 0);
	ck_assert_uint_eq(http_server_connections(fixture.server), CALLERS - 1);
	read_answer(&fixture, 1);
	ck_assert_uint_ge(fixture.received[1], ANSWER_BYTES);
	respond(&fixture, 2);
	read_answer(&fixture, 2);
	ck_assert_uint_ge(fixture.received[2], ANSWER_BYTES);
	read_answer(&fixture, 0);
	ck_assert_uint_lt(fixture.received[0], ANSWER_BYTES);
	ck_assert_uint_eq(http_server_connections(fixture.server), CALLERS - 1);
	tear_down(&fixture);
}
END_TEST

/* The account is full of other bytes: a caller is closed once it has read nothing for a while, and not before. */
START_TEST(test_account_full)
{
	memory_share_t other = {.kind = MEMORY_REQUESTS};
	fixture_t fixture;

	set_up(&fixture);
	memory_account_set_limit(ACCOUNT_BYTES);
	respond(&fixture, 0);
	run_for(&fixture, SLOW_READER_MS + SETTLE_MS);
	ck_assert_uint_eq(http_server_connections(fixture.server), CALLERS);
	memory_share_set(&other, ACCOUNT_BYTES);
	run_for(&fixture, 0);
	ck_assert_uint_eq(http_server_connections(fixture.server), CALLERS - 1);
	respond(&fixture, 1);
	read_answer(&fixture, 1);
	ck_assert_uint_ge(fixture.received[1], ANSWER_BYTES);
	memory_share_set(&other, 0);
	memory_account_set_limit(0);
	tear_down(&fixture);
	ck_assert_uint_eq(memory_account_held(), 0);
}
END_TEST

/* All callers have a request in progress: the limit of connections is exceeded, but not without bound. */
START_TEST(test_connections)
{
	struct sockaddr_storage address;
	fixture_t fixture;
	socklen_t length;
	int fds[MANY];

	set_up(&fixture);
	socket_address_parse(http_server_address(fixture.server), &address, &length);
	for (int i = 0; i < MANY; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		ck_assert_int_eq(connect(fds[i], (struct sockaddr *)&address, length), 0);
		ck_assert_int_gt(send(fds[i], "GET / HTTP/1.1\r\nHost: x\r\n\r\n", 27, MSG_NOSIGNAL), 0);
		run_for(&fixture, 1);
	}
	run_for(&fixture, SETTLE_MS);
	ck_assert_uint_eq(http_server_connections(fixture.server), MAX_EXCESS * CALLERS);
	for (int i = 0; i < MANY; i++)
		close(fds[i]);
	tear_down(&fixture);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("unread");
	TCase *tcase = tcase_create("unread");

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, test_too_many_unread);
	tcase_add_test(tcase, test_account_full);
	tcase_add_test(tcase, test_connections);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
