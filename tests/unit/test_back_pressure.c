/*
 * Long answers of the target and long messages of other proxies while the account of waiting bytes is full: they are
 * received one at a time.  Guards against holding all of them at once, and against holding a part of each for ever.
 */
#include <arpa/inet.h>
#include <check.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "counters.h"
#include "headers.h"
#include "script.h"
#include "stream.h"
#include "target_pool.h"

enum {
	LONG_BYTES = 1000000,
	COUNT = 8,
	LIMIT_BYTES = 1500000,
	SHORT_BYTES =
		65536, /* as much of each may be held beside the long one, twice for what one read adds */
	DEADLINE_MS = 20000,
	POLL_MS = 1,
	MAX_REQUEST_BYTES = 4096,
	TIMEOUT_S = 60
};

static const header_names_t header_names = {.deadline = "Deadline",
					    .request_id = "X-Request-Id",
					    .caller_service = "",
					    .expected_target = "",
					    .not_executed = "",
					    .target_id = ""};

/* Answers one request of a connection with a long body. */
static void *serve_connection(void *data)
{
	g_autofree char *body = g_strnfill(LONG_BYTES, 'x');
	g_autofree char *answer =
		g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", LONG_BYTES, body);
	int fd = GPOINTER_TO_INT(data);
	char request[MAX_REQUEST_BYTES];

	if (recv(fd, request, sizeof(request), 0) > 0)
		send(fd, answer, strlen(answer), MSG_NOSIGNAL);
	recv(fd, request, sizeof(request), 0);
	close(fd);
	return NULL;
}

/* Serves connections, each on a thread, until the listener is shut down. */
static void *serve(void *data)
{
	int fd;

	while ((fd = accept(GPOINTER_TO_INT(data), NULL, NULL)) >= 0) {
		pthread_t thread;

		pthread_create(&thread, NULL, serve_connection, GINT_TO_POINTER(fd));
		pthread_detach(thread);
	}
	return NULL;
}

/* Returns a job with a call for the target. */
static target_job_t *new_job(void)
{
	Caraway__Message *message = g_new(Caraway__Message, 1);
	Caraway__CallRequest *call = g_new(Caraway__CallRequest, 1);
	target_job_t *job;

	caraway__message__init(message);
	caraway__call_request__init(call);
	call->method = g_strdup("GET");
	call->path = g_strdup("/");
	call->idempotent = true;
	message->body_case = CARAWAY__MESSAGE__BODY_CALL_REQUEST;
	message->call_request = call;
	job = target_job_new(message, NULL);
	job->deadline_ms = clock_now_ms() + DEADLINE_MS;
	return job;
}

/* Runs calls with long answers to their end; returns how many were answered whole. */
static int run_calls(poller_t *poller, target_pool_t *pool)
{
	int64_t end_ms = clock_now_ms() + DEADLINE_MS;
	int answered = 0, ended = 0;
	target_job_t *job;

	for (int i = 0; i < COUNT; i++)
		target_pool_submit(pool, new_job());
	while (ended < COUNT && clock_now_ms() < end_ms) {
		poller_run(poller, POLL_MS);
		target_pool_tick(pool, clock_now_ms());
		ck_assert_uint_le(memory_account_held_by(MEMORY_ANSWERS),
				  LIMIT_BYTES + LONG_BYTES + COUNT * SHORT_BYTES);
		while ((job = target_pool_collect(pool))) {
			ended++;
			answered +=
				job->result == CW_ADMIT_ANSWERED && job->response->body->len == LONG_BYTES;
			target_job_free(job);
		}
	}
	return answered;
}

/* The account is full of the target's own answers: one at a time is finished, and all are answered. */
START_TEST(test_long_answers)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	uint64_t paused = counter_value(COUNTER_ANSWER_PAUSED);
	poller_t *poller = poller_new();
	g_autofree char *text = NULL;
	target_pool_t *pool;
	pthread_t thread;

	ck_assert_int_eq(bind(listener, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_eq(listen(listener, COUNT), 0);
	getsockname(listener, (struct sockaddr *)&address, &length);
	pthread_create(&thread, NULL, serve, GINT_TO_POINTER(listener));
	text = g_strdup_printf("127.0.0.1:%d", ntohs(address.sin_port));
	ck_assert_int_eq(target_pool_new(text, &header_names, poller, &pool), CW_OK);
	memory_account_set_limit(LIMIT_BYTES);
	ck_assert_int_eq(run_calls(poller, pool), COUNT);
	ck_assert_uint_gt(counter_value(COUNTER_ANSWER_PAUSED), paused);
	memory_account_set_limit(0);
	target_pool_free(pool);
	poller_free(poller);
	shutdown(listener, SHUT_RDWR);
	pthread_join(thread, NULL);
	close(listener);
	ck_assert_uint_eq(memory_account_held(), 0);
}
END_TEST

/* Returns a message with a long body. */
static Caraway__Message *new_message(void)
{
	Caraway__Message *message = g_new(Caraway__Message, 1);

	caraway__message__init(message);
	caraway__call_reply__init(message->call_reply = g_new(Caraway__CallReply, 1));
	message->body_case = CARAWAY__MESSAGE__BODY_CALL_REPLY;
	message->call_reply->body.data = g_malloc0(LONG_BYTES);
	message->call_reply->body.len = LONG_BYTES;
	return message;
}

/* Connects the clients to a server; returns their identity there. */
static GBytes *connect_client(stream_server_t *server, stream_clients_t *clients)
{
	Caraway__Message hello = CARAWAY__MESSAGE__INIT;
	Caraway__RevokeReply body = CARAWAY__REVOKE_REPLY__INIT;
	int64_t end_ms = clock_now_ms() + DEADLINE_MS;
	Caraway__Message *received = NULL;
	GBytes *peer;

	hello.body_case = CARAWAY__MESSAGE__BODY_REVOKE_REPLY;
	hello.revoke_reply = &body;
	while (stream_clients_send(clients, stream_server_address(server), &hello) != CW_OK &&
	       clock_now_ms() < end_ms)
		stream_server_receive(server, &peer);
	while (!(received = stream_server_receive(server, &peer)) && clock_now_ms() < end_ms)
		;
	ck_assert_ptr_nonnull(received);
	cw_message_free(received);
	return peer;
}

/* Several proxies send a long message each while the account is full: one at a time is received, and all arrive. */
START_TEST(test_long_messages)
{
	stream_clients_t *clients = stream_clients_new();
	Caraway__Message *message = new_message(), *received;
	int64_t end_ms = clock_now_ms() + DEADLINE_MS;
	stream_server_t *servers[COUNT];
	const char *address;
	GBytes *unused;
	int count = 0;

	memory_account_set_limit(1); /* full as soon as anything waits */
	for (int i = 0; i < COUNT; i++) {
		GBytes *peer;

		ck_assert_int_eq(stream_server_open("127.0.0.1:0", &servers[i]), CW_OK);
		peer = connect_client(servers[i], clients);
		ck_assert_int_eq(stream_server_send(servers[i], peer, message), CW_OK);
		g_bytes_unref(peer);
	}
	while (count < COUNT && clock_now_ms() < end_ms) {
		for (int i = 0; i < COUNT; i++)
			ck_assert_ptr_null(stream_server_receive(servers[i], &unused));
		received = stream_clients_receive(clients, &address);
		/* A message is held packed, and its last part as received. */
		ck_assert_uint_le(memory_account_held_by(MEMORY_FROM_PROXIES),
				  LONG_BYTES + 2 * COUNT * SHORT_BYTES);
		count += received != NULL;
		cw_message_free(received);
	}
	ck_assert_int_eq(count, COUNT);
	ck_assert_uint_gt(counter_value(COUNTER_CONNECTION_PAUSED), 0);
	memory_account_set_limit(0);
	stream_clients_free(clients);
	for (int i = 0; i < COUNT; i++)
		stream_server_close(servers[i]);
	cw_message_free(message);
	ck_assert_uint_eq(memory_account_held(), 0);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("back_pressure");
	TCase *tcase = tcase_create("back_pressure");

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, test_long_answers);
	tcase_add_test(tcase, test_long_messages);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
