/*
 * Tests of the receiver of a proxy that starts after its target: when it accepts the target as ready, by its
 * health check or its announcement.
 */
#include <arpa/inet.h>
#include <check.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "receiver.h"
#include "script.h"

enum {
	POLL_MS = 5,
	READY_TIMEOUT_MS = 3000,
	NOT_READY_CHECK_MS = 1000, /* a target that must not become ready is watched for this time */
	TIMEOUT_S = 30,
	MAX_REQUEST_BYTES = 4096
};

/* An HTTP server on a thread that sends the same response to every request. */
typedef struct {
	int listener;
	char *address;
	const char *response;
	pthread_t thread;
} target_t;

/* Answers the first request of each connection and closes the connection. */
static void *serve(void *data)
{
	const target_t *target = data;
	char request[MAX_REQUEST_BYTES];
	int fd;

	while ((fd = accept(target->listener, NULL, NULL)) >= 0) {
		if (recv(fd, request, sizeof(request), 0) > 0)
			send(fd, target->response, strlen(target->response), MSG_NOSIGNAL);
		close(fd);
	}
	return NULL;
}

/* Starts a target on a free port. */
static void start_target(target_t *target, const char *response)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	target->response = response;
	target->listener = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(target->listener, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(listen(target->listener, 8), 0);
	getsockname(target->listener, (struct sockaddr *)&address, &length);
	target->address = g_strdup_printf("127.0.0.1:%d", ntohs(address.sin_port));
	pthread_create(&target->thread, NULL, serve, target);
}

/* Stops a target and its thread. */
static void stop_target(target_t *target)
{
	shutdown(target->listener, SHUT_RDWR);
	pthread_join(target->thread, NULL);
	close(target->listener);
	g_free(target->address);
}

/* A receiver and what it uses. */
typedef struct {
	proxy_settings_t settings;
	poller_t *poller;
	target_pool_t *pool;
	receiver_t *receiver;
} fixture_t;

/* Fails the test: the receiver gets no calls, so it has no reply to send. */
static void fail_on_send(void *data, GBytes *peer, Caraway__Message *message)
{
	(void)data;
	(void)peer;
	(void)message;
	ck_abort_msg("the receiver sent a reply although no call was sent to it");
}

/* Creates a receiver for a target and sets the path of the target's health check. */
static void set_up(fixture_t *fixture, const target_t *target)
{
	*fixture = (fixture_t){.settings = {.vm = "vm",
					    .service = "konvoj",
					    .target = target->address,
					    .target_listen = "127.0.0.1:1",
					    .slots = 4,
					    .queue = 4,
					    .headers = {.deadline = "Deadline",
							.request_id = "X-Request-Id",
							.caller_service = "",
							.expected_target = "X-Expect",
							.not_executed = "",
							.target_id = "X-Id"}}};
	fixture->poller = poller_new();
	ck_assert_int_eq(
		target_pool_new(target->address, &fixture->settings.headers, fixture->poller, &fixture->pool),
		CW_OK);
	fixture->receiver = receiver_new(&fixture->settings, 1, fixture->pool, fail_on_send, NULL);
	receiver_set_health_path(fixture->receiver, "/health");
}

/* Runs a receiver until its target is ready, for time_ms at most; returns whether it is. */
static bool run_until_ready(fixture_t *fixture, int64_t time_ms)
{
	int64_t end_ms = clock_now_ms() + time_ms;

	while (!receiver_target_ready(fixture->receiver) && clock_now_ms() < end_ms) {
		poller_run(fixture->poller, POLL_MS);
		receiver_run(fixture->receiver);
	}
	return receiver_target_ready(fixture->receiver);
}

/* Frees a receiver and what it used. */
static void tear_down(fixture_t *fixture)
{
	receiver_free(fixture->receiver);
	target_pool_free(fixture->pool);
	poller_free(fixture->poller);
}

/* A target whose health check answers 200 with an identifier is ready before it announces itself. */
START_TEST(test_healthy)
{
	target_t target;
	fixture_t fixture;

	start_target(&target, "HTTP/1.1 200 OK\r\nX-Id: i-7\r\nContent-Length: 0\r\n\r\n");
	set_up(&fixture, &target);
	ck_assert(run_until_ready(&fixture, READY_TIMEOUT_MS));
	tear_down(&fixture);
	stop_target(&target);
}
END_TEST

/*
 * DRAIN: a heartbeat that arrives after a restart may have been sent before the target left, and its health
 * check fails: it is not used.
 */
START_TEST(test_unhealthy)
{
	const cw_announcement_t announcement = {
		.id = "i-7", .service = "konvoj", .started_ms = 5, .sequence = 1};
	target_t target;
	fixture_t fixture;

	start_target(&target, "HTTP/1.1 503 Leaving\r\nX-Id: i-7\r\nContent-Length: 0\r\n\r\n");
	set_up(&fixture, &target);
	ck_assert(!run_until_ready(&fixture, NOT_READY_CHECK_MS));
	ck_assert_int_eq(receiver_handle_announcement(fixture.receiver, &announcement), CW_TARGET_APPLIED);
	ck_assert(!run_until_ready(&fixture, NOT_READY_CHECK_MS));
	tear_down(&fixture);
	stop_target(&target);
}
END_TEST

/* DRAIN: a heartbeat that arrives before the answer of the health check does not put the target in use either. */
START_TEST(test_announced_before_check)
{
	const cw_announcement_t announcement = {
		.id = "i-7", .service = "konvoj", .started_ms = 5, .sequence = 1};
	target_t target;
	fixture_t fixture;

	start_target(&target, "HTTP/1.1 503 Leaving\r\nX-Id: i-7\r\nContent-Length: 0\r\n\r\n");
	set_up(&fixture, &target);
	ck_assert_int_eq(receiver_handle_announcement(fixture.receiver, &announcement), CW_TARGET_APPLIED);
	ck_assert(!run_until_ready(&fixture, NOT_READY_CHECK_MS));
	tear_down(&fixture);
	stop_target(&target);
}
END_TEST

/* A target that announces itself and whose health check answers 200 is in use, and stays so. */
START_TEST(test_announced_and_healthy)
{
	cw_announcement_t announcement = {.id = "i-7", .service = "konvoj", .started_ms = 5, .sequence = 1};
	target_t target;
	fixture_t fixture;

	start_target(&target, "HTTP/1.1 200 OK\r\nX-Id: i-7\r\nContent-Length: 0\r\n\r\n");
	set_up(&fixture, &target);
	ck_assert_int_eq(receiver_handle_announcement(fixture.receiver, &announcement), CW_TARGET_APPLIED);
	ck_assert(run_until_ready(&fixture, READY_TIMEOUT_MS));
	announcement.sequence++;
	ck_assert_int_eq(receiver_handle_announcement(fixture.receiver, &announcement), CW_TARGET_APPLIED);
	ck_assert(receiver_target_ready(fixture.receiver));
	tear_down(&fixture);
	stop_target(&target);
}
END_TEST

/* A late heartbeat of an earlier incarnation keeps the sound target out until the next health check at most. */
START_TEST(test_announced_earlier_incarnation)
{
	const cw_announcement_t announcement = {
		.id = "i-6", .service = "konvoj", .started_ms = 5, .sequence = 1};
	target_t target;
	fixture_t fixture;

	start_target(&target, "HTTP/1.1 200 OK\r\nX-Id: i-7\r\nContent-Length: 0\r\n\r\n");
	set_up(&fixture, &target);
	ck_assert(run_until_ready(&fixture, READY_TIMEOUT_MS));
	ck_assert_int_eq(receiver_handle_announcement(fixture.receiver, &announcement), CW_TARGET_APPLIED);
	ck_assert(!receiver_target_ready(fixture.receiver));
	ck_assert(run_until_ready(&fixture, NOT_READY_CHECK_MS));
	tear_down(&fixture);
	stop_target(&target);
}
END_TEST

/* A target that has announced that it is leaving does not become ready by a later health check. */
START_TEST(test_leaving)
{
	const cw_announcement_t announcement = {
		.id = "i-7", .service = "konvoj", .started_ms = 5, .sequence = 1, .leaving = true};
	target_t target;
	fixture_t fixture;

	start_target(&target, "HTTP/1.1 200 OK\r\nX-Id: i-7\r\nContent-Length: 0\r\n\r\n");
	set_up(&fixture, &target);
	ck_assert_int_eq(receiver_handle_announcement(fixture.receiver, &announcement), CW_TARGET_APPLIED);
	ck_assert(!run_until_ready(&fixture, NOT_READY_CHECK_MS));
	tear_down(&fixture);
	stop_target(&target);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("receiver");
	TCase *tcase = tcase_create("receiver");

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, test_healthy);
	tcase_add_test(tcase, test_unhealthy);
	tcase_add_test(tcase, test_announced_before_check);
	tcase_add_test(tcase, test_announced_and_healthy);
	tcase_add_test(tcase, test_announced_earlier_incarnation);
	tcase_add_test(tcase, test_leaving);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
