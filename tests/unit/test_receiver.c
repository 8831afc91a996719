/* A proxy that starts beside a target which was there before it: whom it takes the target for, and when. */
#include <arpa/inet.h>
#include <check.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "receiver.h"
#include "script.h"

enum { STEP_MS = 5, TRY_MS = 3000, QUIET_MS = 1000, TIMEOUT_S = 30, MAX_REQUEST = 4096 };

/* A target that gives one answer to every request. */
typedef struct {
	int listener;
	char *address;
	const char *answer;
	pthread_t thread;
} target_t;

/* Answers the first request of each connection, and closes it. */
static void *serve(void *data)
{
	const target_t *target = data;
	char request[MAX_REQUEST];
	int fd;

	while ((fd = accept(target->listener, NULL, NULL)) >= 0) {
		if (recv(fd, request, sizeof(request), 0) > 0)
			send(fd, target->answer, strlen(target->answer), MSG_NOSIGNAL);
		close(fd);
	}
	return NULL;
}

/* Starts a target. */
static void target_start(target_t *target, const char *answer)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	target->answer = answer;
	target->listener = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(target->listener, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(listen(target->listener, 8), 0);
	getsockname(target->listener, (struct sockaddr *)&address, &length);
	target->address = g_strdup_printf("127.0.0.1:%d", ntohs(address.sin_port));
	pthread_create(&target->thread, NULL, serve, target);
}

/* Stops a target. */
static void target_stop(target_t *target)
{
	shutdown(target->listener, SHUT_RDWR);
	pthread_join(target->thread, NULL);
	close(target->listener);
	g_free(target->address);
}

/* A receiver beside a target. */
typedef struct {
	proxy_settings_t settings;
	poller_t *poller;
	target_pool_t *pool;
	receiver_t *receiver;
} side_t;

/* Nothing is asked of the receiver here, so it answers nobody. */
static void send_nothing(void *data, GBytes *peer, Caraway__Message *message)
{
	(void)data;
	(void)peer;
	(void)message;
	ck_abort_msg("an answer without a request");
}

/* Starts a receiver that knows where its target tells its health. */
static void side_start(side_t *side, const target_t *target)
{
	*side = (side_t){.settings = {.vm = "vm",
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
	side->poller = poller_new();
	ck_assert_int_eq(target_pool_new(target->address, &side->settings.headers, side->poller, &side->pool),
			 CW_OK);
	side->receiver = receiver_new(&side->settings, 1, side->pool, send_nothing, NULL);
	receiver_set_health_path(side->receiver, "/health");
}

/* Runs a receiver until its target takes work, for so long at most; returns whether it does. */
static bool side_run(side_t *side, int64_t time_ms)
{
	int64_t end_ms = clock_now_ms() + time_ms;

	while (!receiver_target_ready(side->receiver) && clock_now_ms() < end_ms) {
		poller_run(side->poller, STEP_MS);
		receiver_run(side->receiver);
	}
	return receiver_target_ready(side->receiver);
}

/* Frees a receiver and what it used. */
static void side_stop(side_t *side)
{
	receiver_free(side->receiver);
	target_pool_free(side->pool);
	poller_free(side->poller);
}

/* A healthy target that tells its identifier is given work before it announces itself. */
START_TEST(test_healthy)
{
	target_t target;
	side_t side;

	target_start(&target, "HTTP/1.1 200 OK\r\nX-Id: i-7\r\nContent-Length: 0\r\n\r\n");
	side_start(&side, &target);
	ck_assert(side_run(&side, TRY_MS));
	side_stop(&side);
	target_stop(&target);
}
END_TEST

/* One that is not healthy may be leaving: it is given none until it announces itself. */
START_TEST(test_unhealthy)
{
	const cw_announcement_t announcement = {
		.id = "i-7", .service = "konvoj", .started_ms = 5, .sequence = 1};
	target_t target;
	side_t side;

	target_start(&target, "HTTP/1.1 503 Leaving\r\nX-Id: i-7\r\nContent-Length: 0\r\n\r\n");
	side_start(&side, &target);
	ck_assert(!side_run(&side, QUIET_MS));
	ck_assert_int_eq(receiver_handle_announcement(side.receiver, &announcement), CW_TARGET_APPLIED);
	ck_assert(side_run(&side, TRY_MS));
	side_stop(&side);
	target_stop(&target);
}
END_TEST

/* One that has said that it leaves is not taken back by an answer. */
START_TEST(test_leaving)
{
	const cw_announcement_t announcement = {
		.id = "i-7", .service = "konvoj", .started_ms = 5, .sequence = 1, .leaving = true};
	target_t target;
	side_t side;

	target_start(&target, "HTTP/1.1 200 OK\r\nX-Id: i-7\r\nContent-Length: 0\r\n\r\n");
	side_start(&side, &target);
	ck_assert_int_eq(receiver_handle_announcement(side.receiver, &announcement), CW_TARGET_APPLIED);
	ck_assert(!side_run(&side, QUIET_MS));
	side_stop(&side);
	target_stop(&target);
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
	tcase_add_test(tcase, test_leaving);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
