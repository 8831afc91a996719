/* The threads that carry calls to a target, against a target that breaks kept connections. */
#include <arpa/inet.h>
#include <check.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "headers.h"
#include "script.h"
#include "target_pool.h"

enum { STEP_US = 1000, MAX_STEPS = 5000, DEADLINE_MS = 2000, TIMEOUT_S = 30 };

/* A server that answers the first request of a connection and breaks it after reading the second. */
typedef struct {
	int listener;
	int port;
	atomic_int requests;
	pthread_t thread;
} breaking_server_t;

/* Reads one request without a body; false at the end of the stream. */
static bool read_request(int fd)
{
	char text[4096] = "";
	size_t length = 0;

	while (!strstr(text, "\r\n\r\n")) {
		ssize_t count = recv(fd, text + length, sizeof(text) - length - 1, 0);

		if (count <= 0)
			return false;
		length += (size_t)count;
		text[length] = '\0';
	}
	return true;
}

/* Serves connections one after the other until the listener is shut down. */
static void *serve(void *data)
{
	static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
	breaking_server_t *server = data;
	int fd;

	while ((fd = accept(server->listener, NULL, NULL)) >= 0) {
		if (read_request(fd)) {
			atomic_fetch_add(&server->requests, 1);
			if (send(fd, answer, strlen(answer), MSG_NOSIGNAL) > 0 && read_request(fd))
				atomic_fetch_add(&server->requests, 1);
		}
		close(fd);
	}
	return NULL;
}

/* Starts the server. */
static void start_server(breaking_server_t *server)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	atomic_init(&server->requests, 0);
	server->listener = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(server->listener, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(listen(server->listener, 8), 0);
	getsockname(server->listener, (struct sockaddr *)&address, &length);
	server->port = ntohs(address.sin_port);
	pthread_create(&server->thread, NULL, serve, server);
}

/* Returns a call for the target. */
static target_job_t *new_job(const char *method, bool idempotent)
{
	Caraway__Message *message = g_new(Caraway__Message, 1);
	Caraway__CallRequest *call = g_new(Caraway__CallRequest, 1);
	target_job_t *job;

	caraway__message__init(message);
	caraway__call_request__init(call);
	call->method = g_strdup(method);
	call->path = g_strdup("/");
	call->idempotent = idempotent;
	message->body_case = CARAWAY__MESSAGE__BODY_CALL_REQUEST;
	message->call_request = call;
	job = target_job_new(message, NULL);
	job->deadline_ms = clock_now_ms() + DEADLINE_MS;
	return job;
}

/* Runs one call through the pool. */
static target_job_t *run(target_pool_t *pool, target_job_t *job)
{
	target_job_t *done = NULL;

	target_pool_submit(pool, job);
	for (int i = 0; i < MAX_STEPS && !done; i++) {
		done = target_pool_collect(pool);
		if (!done)
			usleep(STEP_US);
	}
	ck_assert_ptr_nonnull(done);
	return done;
}

/* Two posts are delivered twice, not three times, though the kept connection breaks. */
START_TEST(test_sent_once)
{
	breaking_server_t server;
	target_pool_t *pool;
	int wake_fd = eventfd(0, EFD_NONBLOCK);
	char address[32];

	start_server(&server);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d", server.port);
	ck_assert_int_eq(target_pool_new(address, 1, wake_fd, &pool), CW_OK);
	for (int i = 0; i < MAX_STEPS && !target_pool_reachable(pool); i++)
		usleep(STEP_US);
	for (int i = 0; i < 2; i++) {
		target_job_t *job = run(pool, new_job("POST", false));

		ck_assert_int_eq(job->end, CW_ADMIT_ANSWERED);
		target_job_free(job);
	}
	ck_assert_int_eq(atomic_load(&server.requests), 2);
	target_pool_free(pool);
	shutdown(server.listener, SHUT_RDWR);
	pthread_join(server.thread, NULL);
	close(server.listener);
	close(wake_fd);
}
END_TEST

/* Nothing listens: proved not run, and the target is not reachable. */
START_TEST(test_unreachable)
{
	int wake_fd = eventfd(0, EFD_NONBLOCK);
	target_pool_t *pool;
	target_job_t *job;

	ck_assert_int_eq(target_pool_new("127.0.0.1:1", 1, wake_fd, &pool), CW_OK);
	job = run(pool, new_job("POST", false));
	ck_assert_int_eq(job->end, CW_ADMIT_NOT_STARTED);
	ck_assert_int_eq(job->reason, CW_REASON_TARGET_UNREACHABLE);
	ck_assert(!target_pool_reachable(pool));
	target_job_free(job);
	target_pool_free(pool);
	close(wake_fd);
}
END_TEST

/* Adds a test as a case of its own, so that CK_RUN_CASE can select it. */
static void add(Suite *suite, const TTest *test)
{
	TCase *tcase = tcase_create(test->name);

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, test);
	suite_add_tcase(suite, tcase);
}

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("target pool");

	add(suite, test_sent_once);
	add(suite, test_unreachable);
	return script_run_suite(suite);
}
